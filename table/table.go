// Package table is the client of the platform's HTTP services: the transactional
// table, the object store and the list of instances.
package table

import "encoding/json"

// Row is one row of the table. Each write increments the version by one; a row that
// does not exist has version 0. Deleted is set only in change feeds.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version int64           `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Condition holds if the row has the given version. Version 0 requires that the row
// does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is applied as a whole if every condition holds, and otherwise not at
// all.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// CommitResult is the response to a transaction. Conflicts holds the current rows of
// the conditions that failed. Version is the version of the rows written, if the
// platform reports it.
type CommitResult struct {
	Committed bool  `json:"committed"`
	Conflicts []Row `json:"conflicts,omitempty"`
	Version   int64 `json:"version,omitempty"`
}

// Changes holds the rows that changed, in order, up to a version of the table. More
// means that the response was full, so that further changes may be available.
type Changes struct {
	Rows    []Row
	Version int64
	More    bool
}

// Paths of the platform's HTTP interface. RowsPath and ObjectsPath are followed by
// the escaped key or name as the last element; ScanPath takes the query parameters
// prefix, after (exclusive) and limit.
const (
	TransactionPath = "/v1/table/transaction" // POST Transaction: 200 or 409 with CommitResult
	RowsPath        = "/v1/table/rows/"       // GET: 200 with Row; an absent row has version 0
	ScanPath        = "/v1/table/scan"        // GET: 200 with ScanPage
	ObjectsPath     = "/v1/objects/"          // PUT, GET: 200 or 404, raw bytes
	InstancesPath   = "/v1/instances"         // GET: 200 with model.InstanceList
)

// ScanPage is a page of rows in key order. More reports whether further rows follow.
type ScanPage struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more"`
}
