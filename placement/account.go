package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Operation is what an order does.
type Operation int

// The operations.
const (
	Load Operation = iota
	Unload
)

// Order is one order to a model engine.
type Order struct {
	Server fleet.Server
	Operation
	Model   domain.ModelName
	Adapter domain.AdapterName
	// ExpectedSequence is the sequence that the server must be at.
	ExpectedSequence uint64
	// Reason says in a few words what it is for.
	Reason string
	// tier is where the checkpoint of a load lies.
	tier fleet.Tier
}

// Outcome is what became of an order.
type Outcome int

// The outcomes. The zero Outcome means that nobody can tell.
const (
	// Unknown orders may have been accepted, or may be later.
	Unknown Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Unneeded orders asked for what holds already.
	Unneeded
	// Conflicted orders met another one, or another sequence.
	Conflicted
	// Fenced orders came from a holder that another has replaced.
	Fenced
	// Rejected orders will never be carried out.
	Rejected
)

const (
	// doubtTime is how long after it was sent an order without an answer may still
	// be carried out.
	doubtTime = 13 * time.Second
	// reportDelay is how old a server's report may be.
	reportDelay = 200 * time.Millisecond
	// pollInterval is how often a server is asked whether its order is done.
	pollInterval = 120 * time.Millisecond
	// adapterTime is how long an adapter takes to load.
	adapterTime = 25 * time.Millisecond
	// adaptersInTransit is how many adapters may be on their way to one server.
	adaptersInTransit = 4
	// unloadTime is how long a server takes to drop a model that runs nothing.
	unloadTime = 60 * time.Millisecond
	// recheckInterval bounds the reports that doubts of nodes cause.
	recheckInterval = 300 * time.Millisecond
	// reservationTime is how long room may take to be made.
	reservationTime = 6 * time.Second
)

// doubt is an order that may still be carried out.
type doubt struct {
	order Order
	until time.Time
}

// account is what the owner knows of one model engine and what it has ordered
// there.
type account struct {
	server   fleet.Server
	holdings fleet.EngineState
	// known is true once the server itself was asked since this node became owner.
	known bool
	// pending is the order that is on its way, if any.
	pending *Order
	// work is the model order that the server carries out, if any.
	work *Order
	// began and ends bound the work; ends is an estimate.
	began, ends time.Time
	// ask is when the server is to be asked next; zero for not at all.
	ask    time.Time
	asking bool
	// rechecked is when a node last doubted what the server is said to hold.
	rechecked time.Time
	doubts    []doubt
	// coming holds adapters that were ordered and when they are expected.
	coming map[ModelKey]time.Time
	// reserved is the model for which room is being made here, if any.
	reserved domain.ModelName
	// reservedUntil is when the reservation ends by itself.
	reservedUntil time.Time
	// orderedAt is when the latest order was accepted.
	orderedAt time.Time
}

// observe takes in holdings that were read at a time.
func (a *account) observe(now, read time.Time, h fleet.EngineState, direct bool) {
	if h.StartedAtMs < a.holdings.StartedAtMs {
		return
	}
	if h.StartedAtMs > a.holdings.StartedAtMs {
		a.reset(now)
	}
	if !direct {
		a.registered(h)
		return
	}
	if h.Sequence < a.holdings.Sequence {
		return
	}
	stale := h.Sequence == a.holdings.Sequence && read.Sub(a.orderedAt) < reportDelay && !a.orderedAt.IsZero()
	a.settleDoubts(now, h)
	if stale {
		return
	}
	a.known = true
	if len(h.InMemory) == 0 && len(h.OnDisk) == 0 {
		h.InMemory, h.OnDisk = a.holdings.InMemory, a.holdings.OnDisk
	}
	a.holdings = h
	a.keepComing(now)
	if a.work != nil && !h.Busy {
		a.work = nil
	}
	if h.Busy && a.work == nil && a.ask.IsZero() {
		a.ask = now.Add(pollInterval)
	}
}

// registered takes in a registration. What the server reported itself is newer.
func (a *account) registered(h fleet.EngineState) {
	if a.known {
		a.holdings.InMemory, a.holdings.OnDisk = h.InMemory, h.OnDisk
		return
	}
	sequence := a.holdings.Sequence
	if h.StartedAtMs == a.holdings.StartedAtMs {
		h.Busy = a.holdings.Busy
	}
	a.holdings = h
	a.holdings.Sequence = sequence
}

// reset forgets what belonged to an earlier life of the server.
func (a *account) reset(now time.Time) {
	a.known, a.work, a.doubts, a.coming, a.reserved = false, nil, nil, nil, ""
	a.orderedAt = time.Time{}
	a.ask = now
	a.holdings = fleet.EngineState{InMemory: a.holdings.InMemory, OnDisk: a.holdings.OnDisk}
}

// settleDoubts drops the doubts that a newer sequence or time has settled: an
// order is carried out only at the sequence that it expects.
func (a *account) settleDoubts(now time.Time, h fleet.EngineState) {
	a.doubts = slices.DeleteFunc(a.doubts, func(d doubt) bool {
		return h.Sequence > d.order.ExpectedSequence || now.After(d.until)
	})
}

// arrived drops the adapters from those that are coming whose time is over.
func (a *account) arrived(now time.Time) {
	for k, at := range a.coming {
		if now.After(at) {
			delete(a.coming, k)
		}
	}
}

// keepComing adds the adapters that were ordered but are not yet in a report.
func (a *account) keepComing(now time.Time) {
	for k, at := range a.coming {
		held, ok := a.holdings.Find(k.Model)
		if !ok || held.HasAdapter(k.Adapter) || now.Sub(at) > time.Second {
			delete(a.coming, k)
			continue
		}
		a.addAdapter(k.Model, k.Adapter)
	}
}

func (a *account) addAdapter(m domain.ModelName, n domain.AdapterName) {
	for i := range a.holdings.Models {
		held := &a.holdings.Models[i]
		if held.Model == m && !slices.Contains(held.Adapters, n) {
			// The old array may have been handed out.
			held.Adapters = append(slices.Clone(held.Adapters), n)
		}
	}
}

func (a *account) dropAdapter(m domain.ModelName, n domain.AdapterName) {
	a.holdings.Models = slices.Clone(a.holdings.Models)
	for i := range a.holdings.Models {
		held := &a.holdings.Models[i]
		if held.Model == m {
			held.Adapters = slices.DeleteFunc(slices.Clone(held.Adapters), func(o domain.AdapterName) bool { return o == n })
		}
	}
}

func (a *account) dropModel(m domain.ModelName) {
	a.holdings.Models = slices.DeleteFunc(slices.Clone(a.holdings.Models), func(h fleet.LoadedModel) bool { return h.Model == m })
}

// finish takes in what became of an order that was sent at a time.
func (a *account) finish(now, sent time.Time, o Order, out Outcome, takes time.Duration) {
	a.pending = nil
	switch out {
	case Accepted:
		a.accepted(now, o, takes)
	case Unneeded:
		a.unneeded(now, o)
	case Conflicted:
		a.known, a.ask = false, now.Add(pollInterval)
	case Unknown:
		a.doubts = append(a.doubts, doubt{order: o, until: sent.Add(doubtTime)})
		a.known, a.ask = false, now.Add(reportDelay)
	case Fenced, Rejected:
		a.known, a.ask = false, now.Add(time.Second)
	}
}

// unneeded takes in that an order asked for what holds already: the report that
// it was based on was old.
func (a *account) unneeded(now time.Time, o Order) {
	a.ask = now.Add(reportDelay)
	switch {
	case o.Operation == Load:
		a.known = false
	case o.Adapter != "":
		a.dropAdapter(o.Model, o.Adapter)
	default:
		a.dropModel(o.Model)
	}
}

func (a *account) accepted(now time.Time, o Order, takes time.Duration) {
	a.holdings.Sequence = o.ExpectedSequence + 1
	a.orderedAt = now
	a.settleDoubts(now, a.holdings)
	switch {
	case o.Adapter != "" && o.Operation == Load:
		k := ModelKey{Service: o.Server.Service, Model: o.Model, Adapter: o.Adapter}
		if a.coming == nil {
			a.coming = map[ModelKey]time.Time{}
		}
		a.coming[k] = now.Add(adapterTime)
		a.addAdapter(o.Model, o.Adapter)
	case o.Adapter != "":
		a.dropAdapter(o.Model, o.Adapter)
	default:
		if o.Operation == Unload {
			a.dropModel(o.Model)
		}
		a.work, a.began, a.ends = &o, now, now.Add(takes)
		a.holdings.Busy = true
		a.ask = now.Add(max(takes-reportDelay, pollInterval))
	}
}

// ready tells whether a model order may be given now.
func (a *account) ready() bool {
	return a.known && a.pending == nil && a.work == nil && !a.holdings.Busy && len(a.doubts) == 0
}

// free returns the memory that is left beside what is loaded, what may come and
// the places for adapters.
func (a *account) free(e *fleet.Engine) domain.Bytes {
	left := e.Memory - e.AdapterReserve
	for _, h := range a.holdings.Models {
		left -= e.Models[h.Model].Memory
	}
	for _, d := range a.doubts {
		if d.order.Operation == Load && d.order.Adapter == "" {
			left -= e.Models[d.order.Model].Memory
		}
	}
	return left
}

// adapterPlaces returns how many places for adapters are taken.
func (a *account) adapterPlaces() int {
	n := 0
	for _, h := range a.holdings.Models {
		n += len(h.Adapters)
		for _, c := range h.LoadingAdapters {
			if !slices.Contains(h.Adapters, c) {
				n++
			}
		}
	}
	return n
}
