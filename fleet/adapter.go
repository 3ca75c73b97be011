package fleet

import (
	"context"
	"time"

	"foxtailmux/entry"
	"foxtailmux/home"
	"foxtailmux/kernel"
	"foxtailmux/model"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// Store is the platform's table store. It holds the home rows and the list of instances.
type Store interface {
	watch.Source
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// TableNames are the tables and rows that a platform writes.
type TableNames struct {
	Workers     string // table with a row for each worker, written by the worker
	Operator    string // table written by the platform's operator
	ConfigKey   string // key of the configuration row
	DrainPrefix string // of the keys of the operator's rows that drain a data centre, whose name follows
}

// EndpointOptions are the callbacks of an endpoint. OnLateReply receives the response time
// of a request whose response came after its timeout, less the longest time that the
// request let the worker delay its response. OnBytes receives the direction, meter.Sent or
// meter.Received, and the number of bytes of each read and write of a connection.
type EndpointOptions struct {
	OnLateReply func(took time.Duration)
	OnBytes     func(direction string, n int)
}

// Adapter implements the protocols of one platform: its table store, its workers and its
// callers.
type Adapter interface {
	NewStore(addr string, timeout time.Duration, onBytes func(direction string, n int)) Store
	NewEndpoint(w model.Worker, o EndpointOptions) home.Endpoint
	TableNames() TableNames
	DecodeWorker(row table.Row) (model.Worker, error)
	DecodeRouting(row table.Row) (model.Routing, error)
	Callers() entry.Protocol
}

// Adapters is the registry of the platform adapters, by name.
var Adapters kernel.Registry[Adapter]
