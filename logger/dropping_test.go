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
	d := logger.NewDroppingWriter(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		fmt.Fprint(d, line)
	}
	_ = d.Close()
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}

// A process must not hang when its standard output is a full pipe that nobody reads. The
// lines that were dropped meanwhile are counted.
func TestBlockedOutputNeverBlocksTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		d := logger.NewDroppingWriter(w)
		began := time.Now()
		for range 900 {
			fmt.Fprintln(d, "line")
		}
		time.Sleep(2 * time.Second)
		for range 1500 { // more than the rate limit still allows after the first 900 lines
			fmt.Fprintln(d, "line")
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("writing took %v", took-2*time.Second)
		}

		read := make(chan string, 1)
		go func() {
			text, _ := io.ReadAll(r)
			read <- string(text)
		}()
		_ = d.Close()
		_ = w.Close()
		text := <-read
		lines, dropped := strings.Count(text, "line\n"), 0
		if _, err := fmt.Sscanf(text[strings.Index(text, `"count":`):], `"count":%d`, &dropped); err != nil {
			t.Fatal(err)
		}
		if lines+dropped != 2400 || dropped == 0 {
			t.Errorf("%d lines written and %d dropped of 2400", lines, dropped)
		}
	})
}

// A process that logs without end must not fill the disk.
func TestRateOfLinesIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		d := logger.NewDroppingWriter(&out)
		for range 10 {
			for range 5000 {
				fmt.Fprintln(d, "line")
			}
			time.Sleep(time.Second)
		}
		_ = d.Close()
		if n := strings.Count(out.String(), "line\n"); n > 6000 {
			t.Errorf("%d lines in 10 s", n)
		}
	})
}
