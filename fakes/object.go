package fakes

import (
	"bytes"
	"net/http"

	"foxtailmux/table"
)

// PutObject stores an object.
func (p *Platform) PutObject(name string, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = bytes.Clone(content)
}

func (p *Platform) object(name string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.objects[name]
	return content, ok
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	name, ok := pathSuffix(r, table.ObjectsPath)
	if !ok {
		http.Error(w, "no name", http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodPut:
		p.storeObject(w, r, name)
	case http.MethodGet:
		p.loadObject(w, name)
	default:
		http.Error(w, "GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (p *Platform) storeObject(w http.ResponseWriter, r *http.Request, name string) {
	content, err := readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	p.beforeWrite()
	p.PutObject(name, content)
	p.afterWrite()
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) loadObject(w http.ResponseWriter, name string) {
	p.beforeRead()
	content, ok := p.object(name)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if p.Faults().CorruptObjects {
		content = corrupt(content)
	}
	w.Write(content)
}

func corrupt(content []byte) []byte {
	if len(content) == 0 {
		return []byte{0xff}
	}
	content = bytes.Clone(content)
	content[len(content)/2] ^= 0x01
	return content
}
