package kernel

import "context"

// ComponentFuncs is a Component made of functions. OnStart and OnStop may be nil. Ended
// is closed when the started work has ended; it may be nil if the work has ended when
// OnStop returns.
type ComponentFuncs struct {
	OnStart func(ctx context.Context) error
	OnStop  func(ctx context.Context) error
	Ended   <-chan struct{}
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Start calls OnStart.
func (f ComponentFuncs) Start(ctx context.Context) error {
	if f.OnStart == nil {
		return nil
	}
	return f.OnStart(ctx)
}

// Stop calls OnStop.
func (f ComponentFuncs) Stop(ctx context.Context) error {
	if f.OnStop == nil {
		return nil
	}
	return f.OnStop(ctx)
}

// Done returns Ended, or a closed channel if Ended is nil.
func (f ComponentFuncs) Done() <-chan struct{} {
	if f.Ended == nil {
		return closedChannel
	}
	return f.Ended
}
