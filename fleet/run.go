package fleet

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rotisserie/eris"

	"foxtailmux/admin"
	"foxtailmux/config"
	"foxtailmux/logger"
	"foxtailmux/setup"
)

// Run runs an instance until the context ends or the process is told to stop.
func Run(ctx context.Context, s setup.Settings, _ io.Writer) error {
	out := logger.NewDroppingWriter(os.Stdout)
	defer out.Close()
	f, err := New(s, out)
	if err != nil {
		return err
	}
	stopping, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	if err := f.Start(ctx); err != nil {
		return err
	}
	go f.watchSettings(stopping, os.Getenv(setup.FileVariable), reload)
	<-stopping.Done()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.stop.Load().Limit)
	defer cancel()
	return f.Stop(limit)
}

// Ready returns why the instance takes no connections, or nil.
func (f *Instance) Ready() error {
	switch {
	case f.leaving.Load():
		return eris.New("the instance is leaving")
	case f.routing.Load() == nil:
		return eris.New("no configuration is in force yet")
	case !f.anyHome():
		return eris.New("no home is in reach")
	}
	return nil
}

func (f *Instance) anyHome() bool {
	for _, dc := range f.dataCentres() {
		if _, ok := f.inReach(dc); ok {
			return true
		}
	}
	return false
}

// stopPoll is the time between looks at what is still in progress.
const stopPoll = 20 * time.Millisecond

// Stop leaves: others take over the homes, the balancer notices, and the
// requests in progress end.
func (f *Instance) Stop(ctx context.Context) error {
	f.log.Info().Int("open", f.front.Open()).Int("homes", f.homeCount()).Msg("stopping")
	f.leaving.Store(true)
	f.beats.Announce()
	deadline, _ := ctx.Deadline()
	f.front.Drain(deadline)

	noticed := time.After(f.stop.Load().DrainDelay)
	f.awaitIdle(ctx, noticed)
	err := f.front.Stop(ctx)
	f.closeHomes()
	f.cancel()
	closing := f.peers.Close(ctx)
	f.log.Info().Int("cutRequests", f.front.Open()).Msg("stopped")
	if err := errors.Join(err, closing); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// awaitIdle waits until the balancer has noticed, no home is left and no request
// is in progress, or until the context ends.
func (f *Instance) awaitIdle(ctx context.Context, noticed <-chan time.Time) {
	select {
	case <-noticed:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for f.front.Open() > 0 || f.homeCount() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// serveOperators starts the operators' port, and the one for metrics alone.
func (f *Instance) serveOperators() {
	operators := admin.New(admin.Options{
		Listener:    f.listeners.operators,
		Version:     func() *config.Version { return &config.Version{Document: config.Default()} },
		Status:      func() config.Status { return config.Status{} },
		Ready:       f.Ready,
		State:       func() any { return f.state() },
		Metrics:     f.meter.Handler(),
		SetLogLevel: f.log.SetLevel,
	})
	if err := operators.Start(f.ctx); err != nil {
		f.log.Error().Err(err).Msg("operators' port not served")
	}
	if f.listeners.metrics == nil {
		return
	}
	app := fiber.New()
	app.Get("/metrics", adaptor.HTTPHandler(f.meter.Handler()))
	go func() {
		err := app.Listener(f.listeners.metrics, fiber.ListenConfig{DisableStartupMessage: true})
		f.log.Info().Err(err).Msg("metrics port closed")
	}()
}
