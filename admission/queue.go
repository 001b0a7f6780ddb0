// Package admission is the admission control of one model at one node: it decides
// which requests get a slot, which are queued and which are refused at once because
// they would miss their deadlines. Teams of the same priority share the slots by
// stride scheduling; within a team the earliest deadline goes first. Package caller
// offers each request before it sends it to a replica. The package never reads a
// clock, does no I/O and starts no goroutines.
package admission

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// MaximumWaiting is the maximum number of requests queued for one model.
const MaximumWaiting = 512

// averageWeight is the weight of a new sample in the exponential moving averages.
const averageWeight = 0.1

// Numbers of mean deviations that are added to the average hold time and the average
// wait error, in the manner of TCP's retransmission timeout.
const (
	holdDeviations = 4
	waitDeviations = 2
)

// minimumRetryAfter is the minimum Decision.RetryAfter of a refusal.
const minimumRetryAfter = time.Second

// ID identifies a request in one queue.
type ID uint64

// Item is a request for a slot.
type Item struct {
	ID   ID
	Team domain.TeamName
	// Share is the weight of the team among those of the same priority; zero means 1.
	Share    float64
	Priority domain.Priority
	Deadline domain.Deadline
}

// Outcome is the result of an offer.
type Outcome int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Outcome -output=outcome_string.go

// The outcomes of an offer.
const (
	// Admitted items hold a slot until Finish.
	Admitted Outcome = iota
	// Queued items wait until a Dequeued lists them.
	Queued
	// RefusedLate items would miss their deadline, or make a queued item of their
	// team miss its own.
	RefusedLate
	// RefusedFull items found MaximumWaiting items queued.
	RefusedFull
)

// Decision is the outcome of an offer with its time estimates.
type Decision struct {
	Outcome Outcome
	// Wait is the estimated time until the item gets a slot.
	Wait time.Duration
	// RetryAfter is the estimated time after which a refused item could be admitted.
	RetryAfter time.Duration
	// LateIDs lists the queued items of other teams that would now miss their deadlines,
	// because the offered item's team is due a slot before theirs. They left the queue
	// and are refused.
	LateIDs []ID
}

// DequeuedItems lists the items that left the queue: Admitted ones got a slot, Late ones can
// no longer meet their deadline and are refused.
type DequeuedItems struct {
	AdmittedIDs []ID
	LateIDs     []ID
}

// Queue holds the slots and the queued requests of one model at one node. The zero
// Queue has one slot. It is not safe for concurrent use.
type Queue struct {
	capacity int
	// running lists the slots in use in the order of their start.
	running []slot
	waiting int
	teams   map[domain.TeamName]*team
	// pass is the virtual time of the last admission (stride scheduling).
	pass float64
	// holdTime is the moving average of the time that a slot is held.
	holdTime time.Duration
	// holdDeviation is the moving average of the absolute deviation from holdTime.
	holdDeviation time.Duration
	// waitError is the moving average of the actual minus the estimated wait, and
	// waitErrorDeviation that of the absolute deviation from it. Estimates are too
	// short where other nodes use the same replicas.
	waitError, waitErrorDeviation time.Duration
}

// slot is the slot of a running item.
type slot struct {
	id        ID
	startedAt time.Time
}

// team holds the queued items of one team.
type team struct {
	name     domain.TeamName
	share    float64
	priority domain.Priority
	// pass is the team's virtual time: it grows by 1/share with each admission, and
	// the team with the lowest goes next.
	pass float64
	// items is sorted by deadline.
	items []queuedItem
}

// queuedItem is a queued item with the wait that was estimated when it was offered.
type queuedItem struct {
	Item
	offeredAt     time.Time
	estimatedWait time.Duration
}

// Waiting returns the number of queued items.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return len(q.running) }

// AverageHoldTime returns the moving average of the time that a slot is held, or zero if
// no item has finished.
func (q *Queue) AverageHoldTime() time.Duration { return q.holdTime }

// Offer admits, queues or refuses an item. It refuses at once an item that is not
// expected to finish by its deadline.
func (q *Queue) Offer(now time.Time, i Item) Decision {
	t := q.teamFor(i)
	if q.waiting == 0 && len(q.running) < q.slots() {
		q.admit(now, t, i.ID)
		return Decision{Outcome: Admitted}
	}
	position := t.insertPosition(i)
	wait := q.estimateWait(now, t, position)
	d := Decision{Outcome: Queued, Wait: wait}
	remaining := i.Deadline.Remaining(now)
	switch {
	case !i.Deadline.At.IsZero() && wait+q.requiredTime() > remaining, q.delaysTeamPastDeadline(now, t, position):
		d.Outcome = RefusedLate
		d.RetryAfter = max(minimumRetryAfter, wait+q.requiredTime()-remaining)
	case q.waiting >= MaximumWaiting:
		d.Outcome = RefusedFull
		d.RetryAfter = max(minimumRetryAfter, wait/2)
	default:
		t.items = slices.Insert(t.items, position, queuedItem{Item: i, offeredAt: now, estimatedWait: wait})
		q.waiting++
		d.LateIDs = q.dropLate(now, t)
	}
	q.removeIdleTeam(t)
	return d
}

// Finish frees the slot of a completed item and records how long it was held.
func (q *Queue) Finish(now time.Time, id ID) DequeuedItems {
	at := slices.IndexFunc(q.running, func(s slot) bool { return s.id == id })
	if at < 0 {
		return DequeuedItems{}
	}
	q.recordHoldTime(now.Sub(q.running[at].startedAt))
	q.running = slices.Delete(q.running, at, at+1)
	return q.fillSlots(now)
}

// Release frees a slot without recording its hold time, for an item that did not run
// to the end of its response.
func (q *Queue) Release(now time.Time, id ID) DequeuedItems {
	q.running = slices.DeleteFunc(q.running, func(s slot) bool { return s.id == id })
	return q.fillSlots(now)
}

// Cancel removes a queued item whose caller no longer waits.
func (q *Queue) Cancel(id ID) {
	for _, t := range q.teams {
		at := slices.IndexFunc(t.items, func(i queuedItem) bool { return i.ID == id })
		if at < 0 {
			continue
		}
		t.items = slices.Delete(t.items, at, at+1)
		q.waiting--
		q.removeIdleTeam(t)
		return
	}
}

// SetCapacity sets the number of slots; a queue always has at least one.
func (q *Queue) SetCapacity(now time.Time, n int) DequeuedItems {
	q.capacity = n
	return q.fillSlots(now)
}

func (q *Queue) slots() int { return max(1, q.capacity) }

// recordHoldTime updates the moving averages of the hold time.
func (q *Queue) recordHoldTime(held time.Duration) {
	if q.holdTime == 0 {
		q.holdTime = held
		return
	}
	deviation := held - q.holdTime
	q.holdTime += time.Duration(averageWeight * float64(deviation))
	q.holdDeviation += time.Duration(averageWeight * float64(deviation.Abs()-q.holdDeviation))
}

// recordWaitError updates the moving averages of the actual minus the estimated wait.
func (q *Queue) recordWaitError(waitError time.Duration) {
	q.waitError += time.Duration(averageWeight * float64(waitError-q.waitError))
	q.waitErrorDeviation += time.Duration(averageWeight * float64((waitError-q.waitError).Abs()-q.waitErrorDeviation))
}

// requiredTime returns the time that an item needs after its estimated wait: the
// average hold time, plus margins for longer runs and longer waits.
func (q *Queue) requiredTime() time.Duration {
	return q.holdTime + holdDeviations*q.holdDeviation + max(0, q.waitError+waitDeviations*q.waitErrorDeviation)
}

// fillSlots admits queued items to free slots and removes those that are expected to
// finish after their deadlines.
func (q *Queue) fillSlots(now time.Time) DequeuedItems {
	var c DequeuedItems
	for q.waiting > 0 && len(q.running) < q.slots() {
		t := q.nextTeam()
		i := t.items[0]
		t.items = slices.Delete(t.items, 0, 1)
		q.waiting--
		q.recordWaitError(now.Sub(i.offeredAt) - i.estimatedWait)
		if i.Deadline.HasPassed(now.Add(q.holdTime + 2*q.holdDeviation)) {
			c.LateIDs = append(c.LateIDs, i.ID)
		} else {
			q.admit(now, t, i.ID)
			c.AdmittedIDs = append(c.AdmittedIDs, i.ID)
		}
		q.removeIdleTeam(t)
	}
	return c
}

// admit gives a slot to an item and advances the virtual time of its team.
func (q *Queue) admit(now time.Time, t *team, id ID) {
	q.running = append(q.running, slot{id: id, startedAt: now})
	t.pass = max(t.pass, q.pass)
	q.pass = t.pass
	t.pass += 1 / t.share
}

// nextTeam returns the team with queued items that is ahead of the others, or nil.
func (q *Queue) nextTeam() *team {
	var best *team
	for _, t := range q.teams {
		if len(t.items) > 0 && (best == nil || t.isAheadOf(best)) {
			best = t
		}
	}
	return best
}

// isAheadOf reports whether t gets the next slot before other: by higher priority,
// then lower virtual time, then name.
func (t *team) isAheadOf(other *team) bool {
	if t.priority != other.priority {
		return t.priority > other.priority
	}
	if t.pass != other.pass {
		return t.pass < other.pass
	}
	return t.name < other.name
}

// insertPosition returns the index in t.items at which an item keeps the order of
// deadlines, behind those with the same deadline. Items without one go first.
func (t *team) insertPosition(i Item) int {
	at, _ := slices.BinarySearchFunc(t.items, i, func(a queuedItem, b Item) int {
		if a.Deadline.At.After(b.Deadline.At) {
			return 1
		}
		return -1
	})
	return at
}

// estimateWait estimates how long an item at a position in its team waits: until a slot
// is free for each item ahead of it and for itself. Teams of the same priority get
// slots in proportion to their shares.
func (q *Queue) estimateWait(now time.Time, t *team, position int) time.Duration {
	ahead := float64(position)
	for _, other := range q.teams {
		switch {
		case other == t || other.priority < t.priority:
		case other.priority > t.priority:
			ahead += float64(len(other.items))
		default:
			ahead += min(float64(len(other.items)), float64(position+1)*other.share/t.share)
		}
	}
	return q.estimateSlotWait(now, int(ahead))
}

// estimateSlotWait estimates the time until a slot is free for an item with the given
// number of others ahead.
func (q *Queue) estimateSlotWait(now time.Time, others int) time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	others += max(0, len(q.running)-q.slots())
	round := time.Duration(others/len(q.running) + 1)
	free := q.running[others%len(q.running)].startedAt.Add(round * q.holdTime)
	return max(0, free.Sub(now))
}

// delaysTeamPastDeadline reports whether an item inserted at a position would make a
// queued item of its own team miss its deadline. Items already queued take precedence.
func (q *Queue) delaysTeamPastDeadline(now time.Time, t *team, position int) bool {
	for i := position; i < len(t.items); i++ {
		if q.missesDeadline(now, t, i, i+1) {
			return true
		}
	}
	return false
}

// dropLate removes and returns the queued items that are expected to miss their
// deadlines, of all teams but newest and those of higher priority.
func (q *Queue) dropLate(now time.Time, newest *team) []ID {
	var late []ID
	for _, t := range q.teams {
		if t == newest || t.priority > newest.priority {
			continue
		}
		for i := len(t.items) - 1; i >= 0; i-- {
			if !q.missesDeadline(now, t, i, i) {
				continue
			}
			late = append(late, t.items[i].ID)
			t.items = slices.Delete(t.items, i, i+1)
			q.waiting--
		}
		q.removeIdleTeam(t)
	}
	slices.Sort(late)
	return late
}

// missesDeadline reports whether item i of a team would miss its deadline at a
// position of the team's queue.
func (q *Queue) missesDeadline(now time.Time, t *team, i, position int) bool {
	d := t.items[i].Deadline
	return !d.At.IsZero() && q.estimateWait(now, t, position)+q.requiredTime() > d.Remaining(now)
}

// teamFor returns the team of an item, with its current priority and share.
func (q *Queue) teamFor(i Item) *team {
	if q.teams == nil {
		q.teams = make(map[domain.TeamName]*team)
	}
	t := q.teams[i.Team]
	if t == nil {
		t = &team{name: i.Team, pass: q.pass}
		q.teams[i.Team] = t
	}
	t.priority, t.share = i.Priority, i.Share
	if t.share <= 0 {
		t.share = 1
	}
	return t
}

// removeIdleTeam removes a team with no queued items whose virtual time isn't ahead of
// the queue's. A team that is ahead stays, or it would get slots out of turn.
func (q *Queue) removeIdleTeam(t *team) {
	if len(t.items) == 0 && t.pass <= q.pass {
		delete(q.teams, t.name)
	}
}
