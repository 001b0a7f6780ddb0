package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Operation is the operation that an order requests.
type Operation int

// The operations.
const (
	Load Operation = iota
	Unload
)

// Order is an order to load or unload a model or adapter on a model engine.
type Order struct {
	Server fleet.Server
	Operation
	Model   domain.ModelName
	Adapter domain.AdapterName
	// ExpectedSequence is the sequence at which the server must be to accept the order.
	ExpectedSequence uint64
	// Reason describes the purpose in a few words.
	Reason string
	// tier is the storage tier of the checkpoint to load.
	tier fleet.Tier
}

// Outcome is the outcome of an order.
type Outcome int

// The outcomes. The zero Outcome is Unknown.
const (
	// Unknown orders may have been accepted, or may be accepted later.
	Unknown Outcome = iota
	// Accepted orders are executed by the server.
	Accepted
	// Unneeded orders request a state that the server already has.
	Unneeded
	// Conflicted orders met another order or a different sequence.
	Conflicted
	// Fenced orders carry the fencing token of a former lease holder.
	Fenced
	// Rejected orders are never executed.
	Rejected
)

const (
	// unknownOutcomeTimeout is how long after sending an order with an unknown outcome
	// may still be accepted.
	unknownOutcomeTimeout = 13 * time.Second
	// reportLag is how far a server's report may lag behind its state.
	reportLag = 200 * time.Millisecond
	// pollInterval is how often a server is polled until its order is done.
	pollInterval = 120 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load.
	adapterLoadTime = 25 * time.Millisecond
	// maxLoadingAdapters is how many adapters one server may load at once.
	maxLoadingAdapters = 4
	// unloadTime is how long a server takes to unload a model without running requests.
	unloadTime = 60 * time.Millisecond
	// minRequestedPollInterval is the least time between two polls of a server that
	// RequestPoll causes.
	minRequestedPollInterval = 300 * time.Millisecond
	// reservationTimeout is how long a server stays reserved while models are evicted
	// for another one.
	reservationTimeout = 6 * time.Second
)

// unresolvedOrder is an order with an unknown outcome that the server may still
// execute.
type unresolvedOrder struct {
	order     Order
	expiresAt time.Time
}

// engineView is the owner's view of one model engine, including its orders there.
type engineView struct {
	server fleet.Server
	state  fleet.EngineState
	// confirmed means that state comes from a report in this node's term as owner, and
	// that no later outcome made it uncertain.
	confirmed bool
	// pendingOrder is the order whose outcome is not recorded yet, if any.
	pendingOrder *Order
	// runningOrder is the model order that the server executes, if any.
	runningOrder *Order
	// runningSince and estimatedEnd bound the execution of runningOrder.
	runningSince, estimatedEnd time.Time
	// nextPoll is when to poll the server next; zero for never.
	nextPoll time.Time
	polling  bool
	// pollRequestedAt is when RequestPoll last scheduled a poll.
	pollRequestedAt  time.Time
	unresolvedOrders []unresolvedOrder
	// loadingAdapters holds the adapters that the server loads, with the estimated end
	// of each load.
	loadingAdapters map[ModelKey]time.Time
	// reservedModel is the model for which other models are being evicted here, if any.
	reservedModel domain.ModelName
	// reservedUntil is when the reservation expires.
	reservedUntil time.Time
	// lastAcceptedAt is when the outcome Accepted was last recorded.
	lastAcceptedAt time.Time
}

// applyState applies an engine state that was read at readAt, from a report of the
// server or else from its registration. It ignores states that are older than the
// view.
func (v *engineView) applyState(now, readAt time.Time, s fleet.EngineState, reported bool) {
	if s.StartedAtMs < v.state.StartedAtMs {
		return
	}
	if s.StartedAtMs > v.state.StartedAtMs {
		v.resetAfterRestart(now)
	}
	if !reported {
		v.applyRegistration(s)
		return
	}
	if s.Sequence < v.state.Sequence {
		return
	}
	stale := s.Sequence == v.state.Sequence && readAt.Sub(v.lastAcceptedAt) < reportLag && !v.lastAcceptedAt.IsZero()
	v.removeResolvedOrders(now, s)
	if stale {
		return
	}
	v.confirmed = true
	if len(s.InMemory) == 0 && len(s.OnDisk) == 0 {
		s.InMemory, s.OnDisk = v.state.InMemory, v.state.OnDisk
	}
	v.state = s
	v.mergeLoadingAdapters(now)
	if v.runningOrder != nil && !s.Busy {
		v.runningOrder = nil
	}
	if s.Busy && v.runningOrder == nil && v.nextPoll.IsZero() {
		v.nextPoll = now.Add(pollInterval)
	}
}

// applyRegistration applies the state in a registration. Reports are newer, so
// that a confirmed view takes only the cached checkpoints from it.
func (v *engineView) applyRegistration(s fleet.EngineState) {
	if v.confirmed {
		v.state.InMemory, v.state.OnDisk = s.InMemory, s.OnDisk
		return
	}
	sequence := v.state.Sequence
	if s.StartedAtMs == v.state.StartedAtMs {
		s.Busy = v.state.Busy
	}
	v.state = s
	v.state.Sequence = sequence
}

// resetAfterRestart clears the view of an earlier process of the server.
// Checkpoints that it cached are kept.
func (v *engineView) resetAfterRestart(now time.Time) {
	v.confirmed, v.runningOrder, v.unresolvedOrders, v.loadingAdapters, v.reservedModel = false, nil, nil, nil, ""
	v.lastAcceptedAt = time.Time{}
	v.nextPoll = now
	v.state = fleet.EngineState{InMemory: v.state.InMemory, OnDisk: v.state.OnDisk}
}

// removeResolvedOrders removes orders that can no longer be accepted, because the
// server has passed the sequence that they expect or their timeout has passed.
func (v *engineView) removeResolvedOrders(now time.Time, s fleet.EngineState) {
	v.unresolvedOrders = slices.DeleteFunc(v.unresolvedOrders, func(u unresolvedOrder) bool {
		return s.Sequence > u.order.ExpectedSequence || now.After(u.expiresAt)
	})
}

// expireLoadingAdapters removes the adapters whose load should be done.
func (v *engineView) expireLoadingAdapters(now time.Time) {
	for k, at := range v.loadingAdapters {
		if now.After(at) {
			delete(v.loadingAdapters, k)
		}
	}
}

// mergeLoadingAdapters adds the loading adapters to the state just reported. It
// drops those that are reported as loaded, more than a second overdue, or without
// their model.
func (v *engineView) mergeLoadingAdapters(now time.Time) {
	for k, at := range v.loadingAdapters {
		loaded, ok := v.state.Find(k.Model)
		if !ok || loaded.HasAdapter(k.Adapter) || now.Sub(at) > time.Second {
			delete(v.loadingAdapters, k)
			continue
		}
		v.addAdapter(k.Model, k.Adapter)
	}
}

func (v *engineView) addAdapter(m domain.ModelName, n domain.AdapterName) {
	for i := range v.state.Models {
		loaded := &v.state.Models[i]
		if loaded.Model == m && !slices.Contains(loaded.Adapters, n) {
			// The old slice may be shared with a snapshot.
			loaded.Adapters = append(slices.Clone(loaded.Adapters), n)
		}
	}
}

func (v *engineView) removeAdapter(m domain.ModelName, n domain.AdapterName) {
	v.state.Models = slices.Clone(v.state.Models)
	for i := range v.state.Models {
		loaded := &v.state.Models[i]
		if loaded.Model == m {
			loaded.Adapters = slices.DeleteFunc(slices.Clone(loaded.Adapters), func(o domain.AdapterName) bool { return o == n })
		}
	}
}

func (v *engineView) removeModel(m domain.ModelName) {
	v.state.Models = slices.DeleteFunc(slices.Clone(v.state.Models), func(h fleet.LoadedModel) bool { return h.Model == m })
}

// applyOutcome applies the outcome of an order that was sent at sentAt and takes
// duration.
func (v *engineView) applyOutcome(now, sentAt time.Time, o Order, out Outcome, duration time.Duration) {
	v.pendingOrder = nil
	switch out {
	case Accepted:
		v.applyAccepted(now, o, duration)
	case Unneeded:
		v.applyUnneeded(now, o)
	case Conflicted:
		v.confirmed, v.nextPoll = false, now.Add(pollInterval)
	case Unknown:
		v.unresolvedOrders = append(v.unresolvedOrders, unresolvedOrder{order: o, expiresAt: sentAt.Add(unknownOutcomeTimeout)})
		v.confirmed, v.nextPoll = false, now.Add(reportLag)
	case Fenced, Rejected:
		v.confirmed, v.nextPoll = false, now.Add(time.Second)
	}
}

// applyUnneeded applies the outcome Unneeded: the view was out of date.
func (v *engineView) applyUnneeded(now time.Time, o Order) {
	v.nextPoll = now.Add(reportLag)
	switch {
	case o.Operation == Load:
		v.confirmed = false
	case o.Adapter != "":
		v.removeAdapter(o.Model, o.Adapter)
	default:
		v.removeModel(o.Model)
	}
}

func (v *engineView) applyAccepted(now time.Time, o Order, duration time.Duration) {
	v.state.Sequence = o.ExpectedSequence + 1
	v.lastAcceptedAt = now
	v.removeResolvedOrders(now, v.state)
	switch {
	case o.Adapter != "" && o.Operation == Load:
		k := ModelKey{Service: o.Server.Service, Model: o.Model, Adapter: o.Adapter}
		if v.loadingAdapters == nil {
			v.loadingAdapters = map[ModelKey]time.Time{}
		}
		v.loadingAdapters[k] = now.Add(adapterLoadTime)
		v.addAdapter(o.Model, o.Adapter)
	case o.Adapter != "":
		v.removeAdapter(o.Model, o.Adapter)
	default:
		if o.Operation == Unload {
			v.removeModel(o.Model)
		}
		v.runningOrder, v.runningSince, v.estimatedEnd = &o, now, now.Add(duration)
		v.state.Busy = true
		v.nextPoll = now.Add(max(duration-reportLag, pollInterval))
	}
}

// canAcceptModelOrder reports whether a model order may be issued now.
func (v *engineView) canAcceptModelOrder() bool {
	return v.confirmed && v.pendingOrder == nil && v.runningOrder == nil && !v.state.Busy && len(v.unresolvedOrders) == 0
}

// freeMemory returns the memory left beside the loaded models, loads with an
// unknown outcome and the memory reserved for adapters.
func (v *engineView) freeMemory(e *fleet.Engine) domain.Bytes {
	free := e.Memory - e.AdapterReserve
	for _, h := range v.state.Models {
		free -= e.Models[h.Model].Memory
	}
	for _, u := range v.unresolvedOrders {
		if u.order.Operation == Load && u.order.Adapter == "" {
			free -= e.Models[u.order.Model].Memory
		}
	}
	return free
}

// usedAdapterSlots returns the number of adapters that are loaded or loading.
func (v *engineView) usedAdapterSlots() int {
	n := 0
	for _, h := range v.state.Models {
		n += len(h.Adapters)
		for _, c := range h.LoadingAdapters {
			if !slices.Contains(h.Adapters, c) {
				n++
			}
		}
	}
	return n
}
