package fakes

import (
	"net/http"
	"time"

	"foxtailmux/model"
)

func (p *Platform) serveList(w http.ResponseWriter) {
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
	writeJSON(w, http.StatusOK, p.instances.at(time.Now().Add(-lag)))
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
	id, ok := lastElement(r, prefix)
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
