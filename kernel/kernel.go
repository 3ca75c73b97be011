package kernel

import (
	"context"
	"errors"
	"slices"
)

// Component is something that a process starts and stops. Stop asks it to end and
// returns when it has ended or the context is done; Done is closed when it
// has ended.
type Component interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Done() <-chan struct{}
}

// Kernel starts parts in the order they were added and stops them in the
// reverse order.
type Kernel struct {
	parts   []namedPart
	started int
}

type namedPart struct {
	name string
	part Component
}

// Add appends a part. Parts are added before Start.
func (k *Kernel) Add(name string, part Component) {
	k.parts = append(k.parts, namedPart{name: name, part: part})
}

// Start starts the parts one after the other. When one fails, those that run
// are stopped again and the failure is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for _, p := range k.parts {
		if err := p.part.Start(ctx); err != nil {
			failure := &Error{Op: "start " + p.name, Kind: KindStart, Err: err}
			return errors.Join(failure, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the started parts, the last one first, and waits for each until
// the context is done. A part that does not end is reported and left behind.
func (k *Kernel) Stop(ctx context.Context) error {
	running := slices.Clone(k.parts[:k.started])
	slices.Reverse(running)
	k.started = 0

	var failures []error
	for _, p := range running {
		if err := stopPart(ctx, p); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

func stopPart(ctx context.Context, p namedPart) error {
	if err := p.part.Stop(ctx); err != nil {
		return &Error{Op: "stop " + p.name, Kind: KindStop, Err: err}
	}

	select {
	case <-p.part.Done():
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop " + p.name, Kind: KindStop, Err: ctx.Err()}
	}
}
