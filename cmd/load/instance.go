package main

import (
	"context"
	"io"
	"time"

	"foxtailmux/daemon"
	"foxtailmux/load"
	"foxtailmux/setup"
)

const (
	anyPort   = "127.0.0.1:0"
	stopLimit = 5 * time.Second
)

// instance is an entry instance in this process.
type instance struct {
	*daemon.Daemon
}

// Close stops the instance. An error is ignored: the run has ended, and its jobs
// have been answered.
func (i instance) Close() {
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	_ = i.Stop(limit)
}

// instanceStarter starts the entry instances of clusters. An instance gets the
// earlier instances of the same platform as seeds.
type instanceStarter struct {
	seeds map[string][]string // peer addresses of the instances, by address of the platform
}

func newInstanceStarter() *instanceStarter {
	return &instanceStarter{seeds: map[string][]string{}}
}

// start starts an entry instance on free ports, without logs.
func (s *instanceStarter) start(o load.InstanceOptions) (load.Instance, error) {
	settings := setup.Default()
	settings.Instance = o.ID
	settings.DataCentre = o.DataCentre
	settings.Callers.Addr = anyPort
	settings.Operators.Addr = anyPort
	settings.Peers.Addr = anyPort
	settings.Peers.Seeds = s.seeds[o.PlatformAddr]
	settings.Platform.Addr = o.PlatformAddr
	settings.Stop = setup.Stop{Limit: stopLimit}

	d, err := daemon.New(settings, io.Discard)
	if err != nil {
		return nil, err
	}
	if err := d.Start(context.Background()); err != nil {
		return nil, err
	}
	s.seeds[o.PlatformAddr] = append(s.seeds[o.PlatformAddr], d.PeerAddr())
	return instance{d}, nil
}
