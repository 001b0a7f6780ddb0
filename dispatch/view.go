package dispatch

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// View is a node's view of the configuration and the servers at one moment. It is
// immutable once published.
type View struct {
	Config *fleet.Configuration
	// ConfigSince is when Config came into force. Views sets it.
	ConfigSince time.Time
	// Servers are the servers that accept new requests, by service.
	Servers map[domain.ServiceName][]*fleet.Server
	// Changed is closed when a newer view is published.
	Changed chan struct{}
}

// InForce returns the version of the configuration and since when it is in force.
func (v *View) InForce() InForce {
	if v.Config == nil {
		return InForce{}
	}
	return InForce{Version: v.Config.Version, Since: v.ConfigSince}
}

// Views holds the newest View. The zero Views holds an empty View. It is safe for
// concurrent use.
type Views struct {
	mu   sync.RWMutex
	view *View
}

// Get returns the newest view, never nil.
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

// Publish replaces the view and closes the Changed channel of the previous view.
func (v *Views) Publish(view *View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replace(view)
}

// Refresh publishes the newest view again, so that waiting requests check their deadlines.
func (v *Views) Refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := View{}
	if v.view != nil {
		view = *v.view
	}
	v.replace(&view)
}

// replace replaces the view. The caller holds mu, so that each Changed channel is closed
// once and no older view replaces a newer one.
func (v *Views) replace(view *View) {
	view.Changed = make(chan struct{})
	previous := v.view
	if previous != nil && previous.Config == view.Config {
		view.ConfigSince = previous.ConfigSince
	} else {
		view.ConfigSince = time.Now()
	}
	v.view = view
	if previous != nil {
		close(previous.Changed)
	}
}
