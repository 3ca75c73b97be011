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

// Store is the platform's table, which keeps who is home and lists instances.
type Store interface {
	watch.Source
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// TableNames are the places at which a platform keeps what it tells.
type TableNames struct {
	Workers   string // table that the workers write
	Operator  string // table that the operator writes
	ConfigKey string // key of the configuration's row
}

// EndpointOptions are what an endpoint tells: the time of an answer that comes after the
// time-out of its order, and the bytes that it carries.
type EndpointOptions struct {
	OnLateReply func(took time.Duration)
	OnBytes     func(direction string, n int)
}

// Adapter speaks one users' platform.
type Adapter interface {
	NewStore(addr string, timeout time.Duration, onBytes func(direction string, n int)) Store
	NewEndpoint(w model.Worker, o EndpointOptions) home.Endpoint
	TableNames() TableNames
	DecodeWorker(row table.Row) (model.Worker, error)
	DecodeRouting(row table.Row) (model.Routing, error)
	Callers() entry.Protocol
}

// Adapters are the users' platforms by name.
var Adapters kernel.Registry[Adapter]
