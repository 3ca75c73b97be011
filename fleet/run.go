package fleet

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rotisserie/eris"

	"foxtailmux/admin"
	"foxtailmux/config"
	"foxtailmux/logger"
	"foxtailmux/memory"
	"foxtailmux/setup"
)

// Run runs an instance until the context ends or the process receives SIGTERM or SIGINT. On
// SIGHUP it reloads the settings file. Every error is an *Error.
func Run(ctx context.Context, s setup.Settings, _ io.Writer) error {
	if s.Limits.Memory > 0 {
		debug.SetMemoryLimit(memory.CollectAt(int64(s.Limits.Memory) << 20))
	}
	out := logger.NewDroppingWriter(os.Stdout)
	defer out.Close()
	in, err := New(s, out)
	if err != nil {
		return err
	}
	stopping, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	if err := in.Start(ctx); err != nil {
		return err
	}
	go in.watchSettings(stopping, os.Getenv(setup.FileVariable), reload)
	<-stopping.Done()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), in.stopSettings.Load().Limit)
	defer cancel()
	return in.Stop(limit)
}

// Ready returns why the instance accepts no connections, or nil.
func (in *Instance) Ready() error {
	switch {
	case in.leaving.Load():
		return eris.New("the instance is leaving")
	case in.routing.Load() == nil:
		return eris.New("no configuration is in force yet")
	case !in.anyHome():
		return eris.New("no home is in reach")
	}
	return nil
}

// anyHome reports whether any home is alive.
func (in *Instance) anyHome() bool {
	for _, dc := range in.dataCentres() {
		if _, ok := in.aliveHome(dc); ok {
			return true
		}
	}
	return false
}

// stopPollInterval is the time between checks for open requests and homes during a stop.
const stopPollInterval = 20 * time.Millisecond

// Stop stops the instance: it announces that it leaves, waits until other instances have
// taken over its homes, the load balancer has noticed and the open requests have ended, or
// until ctx ends, and closes its ports. Every error is an *Error.
func (in *Instance) Stop(ctx context.Context) error {
	in.log.Info().Int("open", in.callerServer.Open()).Int("homes", in.homeCount()).Msg("stopping")
	in.leaving.Store(true)
	in.heartbeats.Announce()
	deadline, _ := ctx.Deadline()
	in.callerServer.Drain(deadline)

	noticed := time.After(in.stopSettings.Load().DrainDelay)
	in.awaitIdle(ctx, noticed)
	err := in.callerServer.Stop(ctx)
	in.closeHomes()
	in.cancel()
	closing := in.peers.Close(ctx)
	in.log.Info().Int("cutRequests", in.callerServer.Open()).Msg("stopped")
	if err := errors.Join(err, closing); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// awaitIdle waits until the load balancer has noticed the stop, which noticed signals, no
// home is left and no request is open, or until the context ends.
func (in *Instance) awaitIdle(ctx context.Context, noticed <-chan time.Time) {
	select {
	case <-noticed:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for in.callerServer.Open() > 0 || in.homeCount() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// serveOperators serves the operators' port and, if an address is set, the metrics port.
func (in *Instance) serveOperators() {
	operators := admin.New(admin.Options{
		Listener:    in.listeners.operators,
		Version:     func() *config.Version { return &config.Version{Document: config.Default()} },
		Status:      func() config.Status { return config.Status{} },
		Ready:       in.Ready,
		State:       func() any { return in.state() },
		Metrics:     in.meter.Handler(),
		SetLogLevel: in.log.SetLevel,
	})
	if err := operators.Start(in.ctx); err != nil {
		in.log.Error().Err(err).Msg("operators' port not served")
	}
	if in.listeners.metrics == nil {
		return
	}
	app := fiber.New()
	app.Get("/metrics", adaptor.HTTPHandler(in.meter.Handler()))
	go func() {
		err := app.Listener(in.listeners.metrics, fiber.ListenConfig{DisableStartupMessage: true})
		in.log.Info().Err(err).Msg("metrics port closed")
	}()
}
