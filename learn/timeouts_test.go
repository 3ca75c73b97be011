package learn

import (
	"fmt"
	"testing"
	"time"
)

func ExampleTimeouts() {
	var t Timeouts
	for _, ms := range []int{1900, 2000, 2100, 600, 700, 800} { // the last three submit again
		t.Observe("quote", time.Duration(ms)*time.Millisecond)
	}
	fmt.Println(t.Usual("quote"))
	fmt.Println(t.Usual("other"))
	// Output:
	// 2s true
	// 0s false
}

func TestUsualTimeoutFollowsAChange(t *testing.T) {
	var s Timeouts
	for range 100 {
		s.Observe("quote", time.Second)
	}
	for range keptTimeouts {
		s.Observe("quote", 5*time.Second)
	}
	if got, ok := s.Usual("quote"); got != 5*time.Second || !ok {
		t.Errorf("usual timeout %v, %v", got, ok)
	}
}
