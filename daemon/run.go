package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"foxtailmux/setup"
)

// Run runs an instance until the context ends or the process receives SIGTERM or SIGINT, and
// then stops it in an orderly way. A second signal, or the expiry of Stop.Limit, cuts off the
// jobs that are still running.
func Run(ctx context.Context, s setup.Settings, w io.Writer) error {
	d, err := New(s, w)
	if err != nil {
		return err
	}

	stopping, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-stopping.Done()
	release()

	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Stop.Limit)
	defer cancel()
	second, release := signal.NotifyContext(limit, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	return d.Stop(second)
}
