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

// Close stops the instance. What it had in progress is of no use any more.
func (i instance) Close() {
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	_ = i.Stop(limit)
}

// instances starts the entry instances of clusters. Those of one platform
// know each other.
type instances struct {
	seeds map[string][]string // by the address of the platform
}

func newInstances() *instances {
	return &instances{seeds: map[string][]string{}}
}

func (s *instances) start(o load.InstanceOptions) (load.Instance, error) {
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
