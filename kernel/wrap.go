package kernel

import "context"

// ComponentFuncs makes a part of functions. OnStart and OnStop may be nil; Ended is
// closed when what they start has ended and may be nil when it ends in OnStop.
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
func (w ComponentFuncs) Start(ctx context.Context) error {
	if w.OnStart == nil {
		return nil
	}
	return w.OnStart(ctx)
}

// Stop calls OnStop.
func (w ComponentFuncs) Stop(ctx context.Context) error {
	if w.OnStop == nil {
		return nil
	}
	return w.OnStop(ctx)
}

// Done is closed when the part has ended.
func (w ComponentFuncs) Done() <-chan struct{} {
	if w.Ended == nil {
		return closedChannel
	}
	return w.Ended
}
