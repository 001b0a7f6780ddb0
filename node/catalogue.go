package node

import (
	"crypto/subtle"

	"github.com/parsleylug/parsleylug/caller"
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// Catalogue reads the configuration in force from the replicated state. It implements
// caller.Catalogue.
type Catalogue struct{ state ReplicatedState }

// NewCatalogue returns a Catalogue that reads from s.
func NewCatalogue(s ReplicatedState) *Catalogue { return &Catalogue{state: s} }

var _ caller.Catalogue = (*Catalogue)(nil)

// Model implements caller.Catalogue.
func (c *Catalogue) Model(n domain.ModelName) (m configuration.Model, ok bool) {
	c.state.View(func(s *fold.State) { m, ok = s.Model(n) })
	return m, ok
}

// Adapter implements caller.Catalogue.
func (c *Catalogue) Adapter(m domain.ModelName, n domain.AdapterName) (a configuration.Adapter, ok bool) {
	c.state.View(func(s *fold.State) { a, ok = s.Adapter(m, n) })
	return a, ok
}

// Service implements caller.Catalogue.
func (c *Catalogue) Service(n domain.ServiceName) (v configuration.Service, ok bool) {
	c.state.View(func(s *fold.State) { v, ok = s.Service(n) })
	return v, ok
}

// Models implements caller.Catalogue.
func (c *Catalogue) Models() (out []configuration.Model) {
	c.state.View(func(s *fold.State) { out = s.Models() })
	return out
}

// Adapters implements caller.Catalogue.
func (c *Catalogue) Adapters() (out []configuration.Adapter) {
	c.state.View(func(s *fold.State) { out = s.Adapters() })
	return out
}

// Deployment implements caller.Catalogue.
func (c *Catalogue) Deployment() (d configuration.Deployment) {
	c.state.View(func(s *fold.State) { d = s.Deployment() })
	return d
}

// TeamByKey implements caller.Catalogue. It compares with every key in constant time, so
// that its duration reveals nothing about the keys.
func (c *Catalogue) TeamByKey(h [32]byte) (t configuration.Team, k configuration.Key, ok bool) {
	c.state.View(func(s *fold.State) {
		for _, x := range s.Teams() {
			for _, y := range x.Keys {
				if subtle.ConstantTimeCompare(y.Hash[:], h[:]) == 1 {
					t, k, ok = x, y, true
				}
			}
		}
	})
	return t, k, ok
}

// IsQuarantined implements caller.Catalogue.
func (c *Catalogue) IsQuarantined(content [32]byte) (q bool) {
	c.state.View(func(s *fold.State) { q = s.Quarantined(content) })
	return q
}
