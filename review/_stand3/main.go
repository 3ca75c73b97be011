// Stand3 plays the cases of the third review: stand-ins of the platform around processes of the deploy file. The exit
// code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 a case
// runs without its disruption.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var quiet = log.New(io.Discard, "", 0)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken int, err error){
	"other-kind":  otherKind,
	"stray-entry": strayEntry,
	"lost-twice":  lostTwice,
	"thin-link":   thinLink,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return notRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	defer f.close()
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		return notRun
	case broken > 0:
		r.printf("the rule was broken, %d times", broken)
		return ruleBroken
	}
	r.printf("the rule held")
	return ruleHeld
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) printf(format string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, v...))
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

func (r *record) close() { _ = r.file.Close() }
