package kernel

import "context"

// Await calls wait and returns nil when it has returned, or the context's
// error when that ends first.
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
