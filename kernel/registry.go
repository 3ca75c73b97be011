// Package kernel starts and stops the components of a process, and holds the
// registries in which plug-ins register themselves.
package kernel

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Registry maps names to plug-ins of one kind. The zero value is ready to use. It is
// safe for concurrent use.
type Registry[T any] struct {
	mu      sync.RWMutex
	plugins map[string]T
}

// Add registers a plug-in. It panics if the name is taken: two plug-ins of the same
// name are a programming error.
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

// Get returns the plug-in of that name. For an unknown name it returns an *Error that
// lists the registered names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()

	plugin, ok := r.plugins[name]
	if !ok {
		registered := strings.Join(r.names(), ", ")
		err := eris.Errorf("no plug-in %q, known are: %s", name, registered)
		return plugin, &Error{Op: "get plug-in", Kind: KindUnknownPlugin, Err: err}
	}
	return plugin, nil
}

// Names returns the names of the registered plug-ins in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return r.names()
}

func (r *Registry[T]) names() []string {
	return slices.Sorted(maps.Keys(r.plugins))
}
