package dispatch

import (
	"sync"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// View is what a node knows at one moment. It is not changed after it was
// published.
type View struct {
	Config *fleet.Configuration
	// Servers are those that may be given new requests, by service.
	Servers map[domain.ServiceName][]*fleet.Server
	// Changed is closed when a newer view is published.
	Changed chan struct{}
}

// Views publishes the newest view. The zero Views has an empty one.
type Views struct {
	mu   sync.RWMutex
	view *View
}

// Get returns the newest view; it is never nil.
func (v *Views) Get() *View {
	v.mu.RLock()
	view := v.view
	v.mu.RUnlock()
	if view != nil {
		return view
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view == nil {
		v.view = &View{Changed: make(chan struct{})}
	}
	return v.view
}

// Publish replaces the view and wakes those who wait for a newer one.
func (v *Views) Publish(view *View) {
	view.Changed = make(chan struct{})
	old := v.Get()
	v.mu.Lock()
	v.view = view
	v.mu.Unlock()
	close(old.Changed)
}

// Refresh wakes those who wait for a newer view.
func (v *Views) Refresh() {
	same := *v.Get()
	v.Publish(&same)
}
