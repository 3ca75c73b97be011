package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"foxtailmux/setup"
)

// Run runs an instance until the context ends or the process is told to stop.
// A second signal, or the stop limit of the settings, ends what is left.
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
