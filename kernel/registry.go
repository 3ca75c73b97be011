// Package kernel starts and stops the parts of a process and keeps the
// tables in which plug-ins register themselves.
package kernel

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Registry is a table of plug-ins of one kind. The zero value is ready.
type Registry[T any] struct {
	mu      sync.RWMutex
	plugins map[string]T
}

// Add registers a plug-in. It panics when the name is taken, since two
// plug-ins of one name are a mistake of the build.
func (r *Registry[T]) Add(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.plugins == nil {
		r.plugins = map[string]T{}
	}
	if _, taken := r.plugins[name]; taken {
		panic("kernel: plug-in " + name + " registered twice")
	}
	r.plugins[name] = plugin
}

// Get returns the plug-in of that name. The error lists the known names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()

	plugin, ok := r.plugins[name]
	if !ok {
		known := strings.Join(r.names(), ", ")
		err := eris.Errorf("no plug-in %q, known are: %s", name, known)
		return plugin, &Error{Op: "get plug-in", Kind: KindUnknownPlugin, Err: err}
	}
	return plugin, nil
}

// Names lists the registered plug-ins in the order of their names.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return r.names()
}

func (r *Registry[T]) names() []string {
	return slices.Sorted(maps.Keys(r.plugins))
}
