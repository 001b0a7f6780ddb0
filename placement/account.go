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
	// Server is the registration of the engine that gets the order.
	Server fleet.Server
	Operation
	Model domain.ModelName
	// Adapter is empty for an order about the base model.
	Adapter domain.AdapterName
	// ExpectedSequence is the sequence that the server must have to accept the order.
	ExpectedSequence uint64
	// Reason is a short text for the log.
	Reason string
	// tier is the storage tier from which the checkpoint is loaded.
	tier fleet.Tier
	// startedAtMs is the start of the server's process that the order was planned for, in Unix
	// milliseconds; 0 if the server does not tell it.
	startedAtMs int64
}

// Outcome is the outcome of an order.
type Outcome int

// The outcomes. The zero Outcome is Unknown.
const (
	// Unknown orders may have been accepted or may still be accepted later.
	Unknown Outcome = iota
	// Accepted orders are being executed by the server.
	Accepted
	// Unneeded orders request a state that the server already has.
	Unneeded
	// Conflicted orders were refused because the server executes another order or is at
	// another sequence.
	Conflicted
	// Fenced orders carry the fencing token of a former lease holder.
	Fenced
	// Rejected orders are never executed.
	Rejected
)

const (
	// unknownOutcomeTimeout is how long a server may still accept an order with an
	// unknown outcome, counted from the sending of the order.
	unknownOutcomeTimeout = 13 * time.Second
	// clockTolerance is by how much the clock of a server may differ from that of this node.
	clockTolerance = 2 * time.Second
	// reportLag is the longest time by which the report of a server lags behind its
	// state.
	reportLag = 200 * time.Millisecond
	// pollInterval is the time between two polls of a server that executes an order.
	pollInterval = 120 * time.Millisecond
	// adapterLoadTime is the estimated time of loading an adapter.
	adapterLoadTime = 25 * time.Millisecond
	// maxLoadingAdapters is the number of adapters that one server may load at once.
	maxLoadingAdapters = 4
	// unloadTime is the estimated time of unloading a model that has no running requests.
	unloadTime = 60 * time.Millisecond
	// minRequestedPollInterval is the shortest time between two polls of one server that
	// RequestPoll schedules.
	minRequestedPollInterval = 300 * time.Millisecond
	// reservationTimeout is how long a server stays reserved for a model while other
	// models are evicted from it.
	reservationTimeout = 6 * time.Second
)

// unresolvedOrder is an order with an unknown outcome that the server may still
// execute.
type unresolvedOrder struct {
	order Order
	// expiresAt is when the server can no longer accept the order.
	expiresAt time.Time
}

// engineView is the owner's view of one model engine, including its orders there.
type engineView struct {
	// server is the last usable registration, state the last known state with the effects
	// of later orders.
	server fleet.Server
	state  fleet.EngineState
	// confirmed means that state comes from a report in this node's current term as
	// owner, and that no later outcome has made it uncertain.
	confirmed bool
	// pendingOrder is the order whose outcome is not recorded yet; nil for none.
	pendingOrder *Order
	// runningOrder is the order for a model that the server executes; nil for none.
	runningOrder *Order
	// runningSince is when runningOrder was accepted, estimatedEnd when its execution
	// should end.
	runningSince, estimatedEnd time.Time
	// nextPoll is when the server is to be polled next; zero for never. pollInFlight is
	// true from DuePolls until RecordReport.
	nextPoll     time.Time
	pollInFlight bool
	// pollRequestedAt is when RequestPoll last scheduled a poll.
	pollRequestedAt time.Time
	// unresolvedOrders are the orders with an unknown outcome that this process of the server
	// may still execute.
	unresolvedOrders []unresolvedOrder
	// loadingAdapters holds the estimated end of the load for each adapter that the
	// server is loading.
	loadingAdapters map[ModelKey]time.Time
	// reservedModel is the model for which other models are evicted from the server;
	// empty for none.
	reservedModel domain.ModelName
	// reservedUntil is when the reservation expires.
	reservedUntil time.Time
	// lastAcceptedAt is when the latest outcome Accepted was recorded.
	lastAcceptedAt time.Time
	// mayHaveRestarted is false if an earlier process of the server under its ID is unlikely: this
	// node has seen none, and the server held models when this node first saw it.
	mayHaveRestarted bool
}

// applyState applies an engine state that was read at readAt. isReport says that the
// state comes from a report of the server instead of its registration. States older than
// the view are ignored.
func (v *engineView) applyState(now, readAt time.Time, s fleet.EngineState, isReport bool) {
	if s.StartedAtMs < v.state.StartedAtMs {
		return
	}
	if s.StartedAtMs > v.state.StartedAtMs {
		v.mayHaveRestarted = v.mayHaveRestarted || v.state.StartedAtMs > 0
		v.resetAfterRestart(now)
	}
	if !isReport {
		v.applyRegistration(s)
		return
	}
	if s.Sequence < v.state.Sequence {
		return
	}
	isStale := s.Sequence == v.state.Sequence && readAt.Sub(v.lastAcceptedAt) < reportLag && !v.lastAcceptedAt.IsZero()
	v.removeResolvedOrders(now, s)
	if isStale {
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
	if v.runningOrder != nil && v.runningOrder.Operation == Unload {
		// The server still lists the model while its last requests run, and rejects new ones.
		v.removeModel(v.runningOrder.Model)
	}
	if s.Busy && v.runningOrder == nil && v.nextPoll.IsZero() {
		v.nextPoll = now.Add(pollInterval)
	}
}

// applyRegistration applies the engine state in a registration. If the view is confirmed,
// it is based on a newer report, and only the cached checkpoints are taken from the
// registration.
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

// resetAfterRestart clears the view after the server has restarted, except for the
// checkpoints that it has cached. The orders with an unknown outcome stay among the planner's
// lateOrders.
func (v *engineView) resetAfterRestart(now time.Time) {
	v.confirmed, v.runningOrder, v.unresolvedOrders, v.loadingAdapters, v.reservedModel = false, nil, nil, nil, ""
	v.lastAcceptedAt = time.Time{}
	v.nextPoll = now
	v.state = fleet.EngineState{InMemory: v.state.InMemory, OnDisk: v.state.OnDisk}
}

// removeResolvedOrders removes the orders that can no longer be accepted: the server has
// passed the sequence that they expect, or unknownOutcomeTimeout has passed.
func (v *engineView) removeResolvedOrders(now time.Time, s fleet.EngineState) {
	v.unresolvedOrders = slices.DeleteFunc(v.unresolvedOrders, func(u unresolvedOrder) bool {
		return s.Sequence > u.order.ExpectedSequence || now.After(u.expiresAt)
	})
}

// expireLoadingAdapters removes each adapter from loadingAdapters whose estimated end of
// the load has passed.
func (v *engineView) expireLoadingAdapters(now time.Time) {
	for k, at := range v.loadingAdapters {
		if now.After(at) {
			delete(v.loadingAdapters, k)
		}
	}
}

// mergeLoadingAdapters adds the loading adapters to the state just reported. It drops an
// adapter if it is reported as loaded, if its load is more than a second overdue or if
// its model is not loaded.
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

// addAdapter adds an adapter to a loaded model in the view.
func (v *engineView) addAdapter(m domain.ModelName, a domain.AdapterName) {
	// The old slices may be shared with a snapshot.
	v.state.Models = slices.Clone(v.state.Models)
	for i := range v.state.Models {
		loaded := &v.state.Models[i]
		if loaded.Model == m && !slices.Contains(loaded.Adapters, a) {
			loaded.Adapters = append(slices.Clone(loaded.Adapters), a)
		}
	}
}

// removeAdapter removes an adapter from a loaded model in the view.
func (v *engineView) removeAdapter(m domain.ModelName, a domain.AdapterName) {
	v.state.Models = slices.Clone(v.state.Models)
	for i := range v.state.Models {
		loaded := &v.state.Models[i]
		if loaded.Model == m {
			loaded.Adapters = slices.DeleteFunc(slices.Clone(loaded.Adapters), func(o domain.AdapterName) bool { return o == a })
		}
	}
}

// removeModel removes a loaded model from the view.
func (v *engineView) removeModel(m domain.ModelName) {
	v.state.Models = slices.DeleteFunc(slices.Clone(v.state.Models), func(loaded fleet.LoadedModel) bool { return loaded.Model == m })
}

// applyOutcome applies the outcome of an order that was sent at sentAt; estimatedDuration
// is the estimated time of its execution.
func (v *engineView) applyOutcome(now, sentAt time.Time, o Order, outcome Outcome, estimatedDuration time.Duration) {
	v.pendingOrder = nil
	switch outcome {
	case Accepted:
		v.applyAccepted(now, o, estimatedDuration)
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

// applyOutcomeOfFormerProcess applies the outcome of an order that was planned before the server
// started again. Either process may have responded.
func (v *engineView) applyOutcomeOfFormerProcess(now time.Time) {
	v.pendingOrder = nil
	v.confirmed, v.nextPoll = false, now
}

// applyUnneeded applies the outcome Unneeded. It shows that the view was out of date,
// because the server already had the requested state.
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

// applyAccepted applies the outcome Accepted: the effects of the order are part of the
// view at once, except for a loaded model, which has to be reported.
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

// canAcceptModelOrder reports whether the state of the server is confirmed and no order
// is pending, running or unresolved there.
func (v *engineView) canAcceptModelOrder() bool {
	return v.confirmed && v.pendingOrder == nil && v.runningOrder == nil && !v.state.Busy && len(v.unresolvedOrders) == 0
}

// awaitsReport reports whether the server is asked for a report now or soon.
func (v *engineView) awaitsReport(now time.Time) bool {
	return v.pollInFlight || !v.nextPoll.IsZero() && v.nextPoll.Sub(now) <= pollInterval
}

// usedAdapterSlots returns the number of adapters that are loaded or being loaded.
func (v *engineView) usedAdapterSlots() int {
	n := 0
	for _, loaded := range v.state.Models {
		n += usedAdapterSlots(loaded)
	}
	return n
}

// usedAdapterSlots returns the number of adapters of a model that are loaded or being loaded.
func usedAdapterSlots(m fleet.LoadedModel) int {
	n := len(m.Adapters)
	for _, a := range m.LoadingAdapters {
		if !slices.Contains(m.Adapters, a) {
			n++
		}
	}
	return n
}
