package home

import (
	"fmt"
	"slices"
	"sync"
)

// maxAttempts bounds the attempts that are recorded for one request.
const maxAttempts = 16

// Attempts records for the log to which homes the origin of a job has submitted it. It is safe for concurrent
// use. A nil one records nothing.
type Attempts struct {
	mu   sync.Mutex
	list []string
	more int
}

// Begin records an attempt, as open, and returns the function that records its result instead. The text ends
// with what separates it from the result.
func (a *Attempts) Begin(text string) (end func(result string)) {
	if a == nil {
		return func(string) {}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == maxAttempts {
		a.more++
		return func(string) {}
	}
	i := len(a.list)
	a.list = append(a.list, text+"open")
	return func(result string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.list[i] = text + result
	}
}

// List returns the attempts in their order, followed by the number of those that were not recorded.
func (a *Attempts) List() []string {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.Clone(a.list)
	if a.more > 0 {
		list = append(list, fmt.Sprintf("%d more", a.more))
	}
	return list
}
