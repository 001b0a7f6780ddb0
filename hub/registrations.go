package hub

import (
	"net/netip"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// maximumSlots bounds the number of slots of a server.
	maximumSlots = 1 << 20
	// maximumWarmUp bounds the time for which a server warms up.
	maximumWarmUp = 24 * time.Hour
)

// wireRegistrations is a RegistrationChanges; nil if it is empty.
type wireRegistrations struct {
	_                struct{} `cbor:",toarray"`
	Previous, Offset uint64
	Changes          []wireChange
}

// wireChange is a fleet.Change. Registration is nil if the registration was removed.
type wireChange struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Offset       uint64
	Registration *wireRegistration
}

type wireRegistration struct {
	_                      struct{} `cbor:",toarray"`
	Service, Address, Zone string
	Slots                  int
	IsReady                bool
	WarmUpMilliseconds     int64
	Engine                 wireServer
	InMemory, OnDisk       []string
}

// encodeRegistrations encodes changes whose offsets are all of one era, without that era. It
// returns nil for others.
func encodeRegistrations(c RegistrationChanges) *wireRegistrations {
	if len(c.Changes) == 0 || !c.isOfOneEra() {
		return nil
	}
	w := &wireRegistrations{Previous: c.Previous.Position(), Offset: c.Offset.Position()}
	for _, change := range c.Changes {
		w.Changes = append(w.Changes, wireChange{ID: string(change.ID), Offset: change.Offset.Position(), Registration: encodeRegistration(change.Server)})
	}
	return w
}

func encodeRegistration(s *fleet.Server) *wireRegistration {
	if s == nil {
		return nil
	}
	return &wireRegistration{
		Service: string(s.Service), Address: s.Address, Zone: string(s.Zone), Slots: s.Slots,
		IsReady: s.State == fleet.Ready, WarmUpMilliseconds: s.WarmUpRemaining.Milliseconds(),
		Engine:   encodeServer(ServerState{ID: s.ID, EngineState: s.EngineState}),
		InMemory: domain.Strings(s.EngineState.InMemory), OnDisk: domain.Strings(s.EngineState.OnDisk),
	}
}

// decode returns the changes with offsets of an era, or none if one of them is out of range: the node
// then reads them all in the store.
func (w *wireRegistrations) decode(era uint64) RegistrationChanges {
	if w == nil || w.Previous > maximumOffset || w.Offset > maximumOffset || era > domain.MaximumEra {
		return RegistrationChanges{}
	}
	e := domain.Era(era)
	c := RegistrationChanges{Previous: domain.OffsetIn(e, w.Previous), Offset: domain.OffsetIn(e, w.Offset)}
	for _, change := range w.Changes {
		if change.ID == "" || change.Offset > w.Offset || !change.Registration.isInRange() {
			return RegistrationChanges{}
		}
		id := domain.ServerID(change.ID)
		c.Changes = append(c.Changes, fleet.Change{ID: id, Offset: domain.OffsetIn(e, change.Offset), Server: change.Registration.decode(id)})
	}
	return c
}

// isInRange reports whether the address and the numbers of a registration are possible. A removed
// one is in range.
func (w *wireRegistration) isInRange() bool {
	if w == nil {
		return true
	}
	if _, err := netip.ParseAddrPort(w.Address); err != nil {
		return false
	}
	return w.Engine.isInRange() && w.Slots >= 1 && w.Slots <= maximumSlots &&
		w.WarmUpMilliseconds >= 0 && w.WarmUpMilliseconds <= maximumWarmUp.Milliseconds()
}

func (w *wireRegistration) decode(id domain.ServerID) *fleet.Server {
	if w == nil {
		return nil
	}
	s := &fleet.Server{
		ID: id, Service: domain.ServiceName(w.Service), Address: w.Address, Zone: domain.Zone(w.Zone), Slots: w.Slots,
		WarmUpRemaining: time.Duration(w.WarmUpMilliseconds) * time.Millisecond, EngineState: w.Engine.decode().EngineState,
	}
	if w.IsReady {
		s.State = fleet.Ready
	}
	s.EngineState.InMemory = domain.Names[domain.ModelName](w.InMemory)
	s.EngineState.OnDisk = domain.Names[domain.ModelName](w.OnDisk)
	return s
}
