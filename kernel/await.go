package kernel

import "context"

// Await calls wait and returns nil when wait has returned, or the error of the context
// if the context ends first. In that case wait goes on in its goroutine.
func Await(ctx context.Context, wait func()) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait()
	}()

	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
