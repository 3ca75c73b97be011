package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/logger"
)

func TestLinesPassInOrder(t *testing.T) {
	var out bytes.Buffer
	b := logger.NewDroppingWriter(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		fmt.Fprint(b, line)
	}
	_ = b.Close()
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}

// Standard output that nobody reads must not stop the process.
func TestFullOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		b := logger.NewDroppingWriter(w)
		began := time.Now()
		for range 900 {
			fmt.Fprintln(b, "line")
		}
		time.Sleep(2 * time.Second)
		for range 1500 { // more than the rate has left, whatever waits already
			fmt.Fprintln(b, "line")
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("writing took %v", took-2*time.Second)
		}

		read := make(chan string, 1)
		go func() {
			text, _ := io.ReadAll(r)
			read <- string(text)
		}()
		_ = b.Close()
		_ = w.Close()
		text := <-read
		lines, left := strings.Count(text, "line\n"), 0
		if _, err := fmt.Sscanf(text[strings.Index(text, `"count":`):], `"count":%d`, &left); err != nil {
			t.Fatal(err)
		}
		if lines+left != 2400 || left == 0 {
			t.Errorf("%d lines and %d left out of 2400", lines, left)
		}
	})
}

func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := logger.NewDroppingWriter(&out)
		for range 10 {
			for range 5000 {
				fmt.Fprintln(b, "line")
			}
			time.Sleep(time.Second)
		}
		_ = b.Close()
		if n := strings.Count(out.String(), "line\n"); n > 6000 {
			t.Errorf("%d lines in 10 s", n)
		}
	})
}
