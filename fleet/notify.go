package fleet

import "sync"

// notifier signals all goroutines that wait for the next change.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// notify signals all waiting goroutines.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}
