package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailmux/model"
)

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	faults := p.Faults()
	if faults.ListDown {
		abort()
	}

	p.listReads.Add(1)
	if faults.EmptyList {
		writeJSON(w, http.StatusOK, emptyList())
		return
	}
	lag := time.Duration(faults.ListLagMillis) * time.Millisecond
	writeTagged(w, r, p.instances.at(time.Now().Add(-lag)))
}

// writeTagged writes a value as JSON with an entity tag, or status 304 if the
// request's If-None-Match has the same tag.
func writeTagged(w http.ResponseWriter, r *http.Request, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}

	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func (p *Platform) serveWorker(w http.ResponseWriter, r *http.Request) {
	var worker model.Worker
	serveInstance(w, r, workersPath, &worker, p.RemoveWorker, func(id string) {
		worker.ID = id
		p.PutWorker(worker)
	})
}

func (p *Platform) serveEntry(w http.ResponseWriter, r *http.Request) {
	var entry model.Entry
	serveInstance(w, r, entriesPath, &entry, p.RemoveEntry, func(id string) {
		entry.ID = id
		p.PutEntry(entry)
	})
}

func serveInstance(w http.ResponseWriter, r *http.Request, prefix string, body any, remove, put func(id string)) {
	id, ok := pathSuffix(r, prefix)
	if !ok {
		http.Error(w, "no id", http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodDelete:
		remove(id)
	case http.MethodPut:
		if err := readJSON(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		put(id)
	default:
		http.Error(w, "PUT or DELETE", http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusOK)
}
