package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// An order with an unknown outcome may still arrive after the server has started again under its ID.
// The sequence of the new process starts anew, so that it may come to the one that the order expects,
// and the fences of the process before are forgotten. Within one process nothing of the kind happens: the
// sequence only grows, and of two orders that expect the same one the server accepts one.
//
// The planner lets a server come to such a sequence only in a state that has room for what the order
// loads. It may be at any other sequence with any state.

// lateOrders are the orders with an unknown outcome that were sent to each server, also if it has passed
// the sequence that they expect, started again or left since.
type lateOrders map[domain.ServerID][]unresolvedOrder

// add adds an order that may arrive until expiresAt. An order that was sent again counts once.
func (l lateOrders) add(o Order, expiresAt time.Time) {
	orders := l[o.Server.ID]
	for i := range orders {
		if orders[i].order.isSameAs(o) {
			orders[i].expiresAt = expiresAt
			return
		}
	}
	l[o.Server.ID] = append(orders, unresolvedOrder{order: o, expiresAt: expiresAt})
}

// isSameAs reports whether two orders to a server have the same effect at the same sequence of the same
// process.
func (o *Order) isSameAs(other Order) bool {
	return o.Operation == other.Operation && o.Model == other.Model && o.Adapter == other.Adapter && o.ExpectedSequence == other.ExpectedSequence && o.startedAtMs == other.startedAtMs
}

// expire removes the orders that can no longer arrive.
func (l lateOrders) expire(now time.Time) {
	for id, orders := range l {
		orders = slices.DeleteFunc(orders, func(u unresolvedOrder) bool { return now.After(u.expiresAt) })
		if len(orders) == 0 {
			delete(l, id)
			continue
		}
		l[id] = orders
	}
}

// room is what orders take on a server.
type room struct {
	memory       domain.Bytes
	adapterSlots int
}

// roomOf returns the room that an order takes; it is negative for an order to unload.
func (p *Planner) roomOf(v *engineView, e *fleet.Engine, o Order) room {
	size, _ := p.sizeOf(e, ModelKey{Service: v.server.Service, Model: o.Model})
	r := room{memory: size.model}
	if o.Adapter != "" {
		r = room{memory: size.adapter, adapterSlots: 1}
	}
	if o.Operation == Load {
		return r
	}
	if o.Adapter != "" {
		return room{memory: -r.memory, adapterSlots: -r.adapterSlots}
	}
	loaded, _ := v.state.Find(o.Model)
	adapters := usedAdapterSlots(loaded)
	return room{memory: -p.loadedMemory(v, e, o.Model) - domain.Bytes(adapters)*size.adapter, adapterSlots: -adapters}
}

// lateOrderRoom returns the room that orders to earlier processes of a server may take if they arrive
// while it is at a sequence. An order that is accepted leads to the next sequence, which another may
// expect. The time is when the last of them can no longer arrive.
func (p *Planner) lateOrderRoom(now time.Time, v *engineView, e *fleet.Engine, sequence uint64) (room, time.Time) {
	sum, until := p.foreignOrderRoom(now, v, e)
	for isExpected := true; isExpected; sequence++ {
		isExpected = false
		var largest room
		for _, u := range p.lateOrders[v.server.ID] {
			if u.order.ExpectedSequence != sequence || u.order.startedAtMs == v.state.StartedAtMs || now.After(u.expiresAt) {
				continue
			}
			isExpected = true
			r := p.roomOf(v, e, u.order)
			largest = room{max(largest.memory, r.memory), max(largest.adapterSlots, r.adapterSlots)}
			if u.expiresAt.After(until) {
				until = u.expiresAt
			}
		}
		sum = room{sum.memory + largest.memory, sum.adapterSlots + largest.adapterSlots}
	}
	return sum, until
}

// foreignOrderRoom returns the room that an order of the previous owner may take, and until when it may
// arrive. A new owner knows none of them. Servers that check fences reject them once it has
// sent an order, and a process that has got none is empty. Other servers may accept one if they have
// started since it was sent.
func (p *Planner) foreignOrderRoom(now time.Time, v *engineView, e *fleet.Engine) (room, time.Time) {
	if p.ServersCheckFences || now.After(p.foreignOrdersUntil) || !v.mayHaveRestarted {
		return room{}, time.Time{}
	}
	earliestSending := p.foreignOrdersUntil.Add(-2*unknownOutcomeTimeout - clockTolerance)
	if v.state.StartedAtMs < earliestSending.UnixMilli() {
		return room{}, time.Time{}
	}
	r := room{adapterSlots: 1}
	for _, m := range e.Models {
		r.memory = max(r.memory, m.Memory, m.AdapterMemory)
	}
	return r, p.foreignOrdersUntil
}

// waitForLateOrders returns how long an order to a server must wait, because it would bring the
// server to a state without room for orders to its earlier processes that may still arrive.
func (p *Planner) waitForLateOrders(now time.Time, v *engineView, e *fleet.Engine, o Order) time.Duration {
	late, until := p.lateOrderRoom(now, v, e, v.state.Sequence+1)
	if late == (room{}) {
		return 0
	}
	taken := p.roomOf(v, e, o)
	freeSlots := e.AdapterSlots - v.usedAdapterSlots() - taken.adapterSlots
	if p.freeAdapterMemory(v, e)-taken.memory >= late.memory && freeSlots >= late.adapterSlots {
		return 0
	}
	return until.Sub(now)
}
