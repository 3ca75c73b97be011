package kernel

import (
	"context"
	"errors"
	"slices"
)

// Component is a part of a process that is started and stopped, such as a server.
// Stop asks the component to end, and returns when it has ended or when the context
// is done. Done is closed when the component has ended.
type Component interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Done() <-chan struct{}
}

// Kernel starts components in the order in which they were added, and stops them in
// the reverse order.
type Kernel struct {
	components []namedComponent
	started    int
}

type namedComponent struct {
	name      string
	component Component
}

// Add appends a component. All components have to be added before Start.
func (k *Kernel) Add(name string, component Component) {
	k.components = append(k.components, namedComponent{name: name, component: component})
}

// Start starts the components one after the other. If one fails, Start stops those that
// were started and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, c := range k.components {
		if err := c.component.Start(ctx); err != nil {
			failure := &Error{Op: "start " + c.name, Kind: KindStart, Err: err}
			return errors.Join(failure, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the started components, the last one first, and waits for each one until
// the context is done. If a component returns an error or does not end, Stop goes on with
// the next one and includes the failure in the returned error.
func (k *Kernel) Stop(ctx context.Context) error {
	running := slices.Clone(k.components[:k.started])
	slices.Reverse(running)
	k.started = 0

	var failures []error
	for _, c := range running {
		if err := stopComponent(ctx, c); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

func stopComponent(ctx context.Context, c namedComponent) error {
	if err := c.component.Stop(ctx); err != nil {
		return &Error{Op: "stop " + c.name, Kind: KindStop, Err: err}
	}

	select {
	case <-c.component.Done():
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop " + c.name, Kind: KindStop, Err: ctx.Err()}
	}
}
