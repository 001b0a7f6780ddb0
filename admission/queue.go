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

// Numbers of mean deviations that requiredTime adds to the average hold time and the
// average wait error, like the retransmission timeout of TCP.
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

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Outcome,Outlook -output=outcome_string.go

// The outcomes of an offer.
const (
	// Admitted items hold a slot until Finish.
	Admitted Outcome = iota
	// Queued items wait for a slot until a DequeuedItems or Decision.LateIDs lists them.
	Queued
	// RefusedLate items would miss their deadline, or make a queued item of their
	// team miss its deadline.
	RefusedLate
	// RefusedFull items were offered while MaximumWaiting items were queued.
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
	// because the offered item gets a slot before them. Offer removed them from the
	// queue; their requests must be refused.
	LateIDs []ID
}

// DequeuedItems lists the items that left the queue. Admitted items got a slot. Late items
// can no longer meet their deadlines; their requests must be refused.
type DequeuedItems struct {
	AdmittedIDs []ID
	LateIDs     []ID
}

// Queue holds the slots and the queued requests of one model at one node. The zero
// Queue has one slot. It is not safe for concurrent use.
type Queue struct {
	// capacity is the number of slots that SetCapacity set; slots returns at least one.
	capacity int
	// usedSlots lists the slots in use in the order in which they were given to items.
	usedSlots []slot
	// queuedCount is the number of queued items of all teams.
	queuedCount int
	// teams holds the teams that have queued items or whose virtual time is ahead of
	// Queue.virtualTime.
	teams map[domain.TeamName]*team
	// virtualTime is the virtual time of the last admission (stride scheduling).
	virtualTime float64
	// holdTime is the moving average of the time that a slot is held.
	holdTime time.Duration
	// holdDeviation is the moving average of the absolute deviation from holdTime.
	holdDeviation time.Duration
	// waitError is the moving average of the actual minus the estimated wait, and
	// waitErrorDeviation is the moving average of the absolute deviation from
	// waitError. Estimated waits are too short if other nodes use the same replicas.
	waitError, waitErrorDeviation time.Duration
}

// slot is a slot in use by the item id since startedAt.
type slot struct {
	id        ID
	startedAt time.Time
}

// team holds the queued items of one team.
type team struct {
	name     domain.TeamName
	share    float64
	priority domain.Priority
	// virtualTime grows by 1/share with each admission of an item of the team. Of the
	// teams of the same priority, the one with the lowest virtual time gets the next
	// slot.
	virtualTime float64
	// items are the queued items, sorted by deadline.
	items []queuedItem
}

// queuedItem is a queued item with the wait that was estimated when it was offered.
type queuedItem struct {
	Item
	offeredAt     time.Time
	estimatedWait time.Duration
}

// Waiting returns the number of queued items.
func (q *Queue) Waiting() int { return q.queuedCount }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return len(q.usedSlots) }

// AverageHoldTime returns the moving average of the time that a slot is held, or zero if
// no item has finished.
func (q *Queue) AverageHoldTime() time.Duration { return q.holdTime }

// Offer admits, queues or refuses an item. It refuses an item that is not expected to
// finish by its deadline, that would make a queued item of its team miss its deadline,
// or that finds the queue full.
func (q *Queue) Offer(now time.Time, i Item) Decision {
	t := q.teamFor(i)
	if q.queuedCount == 0 && len(q.usedSlots) < q.slots() {
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
	case q.queuedCount >= MaximumWaiting:
		d.Outcome = RefusedFull
		d.RetryAfter = max(minimumRetryAfter, wait/2)
	default:
		t.items = slices.Insert(t.items, position, queuedItem{Item: i, offeredAt: now, estimatedWait: wait})
		q.queuedCount++
		d.LateIDs = q.removeLateItems(now, t)
	}
	q.removeIdleTeam(t)
	return d
}

// Finish frees the slot of a completed item and records how long it was held.
func (q *Queue) Finish(now time.Time, id ID) DequeuedItems {
	index := slices.IndexFunc(q.usedSlots, func(s slot) bool { return s.id == id })
	if index < 0 {
		return DequeuedItems{}
	}
	q.recordHoldTime(now.Sub(q.usedSlots[index].startedAt))
	q.usedSlots = slices.Delete(q.usedSlots, index, index+1)
	return q.fillSlots(now)
}

// Release frees the slot of an item that did not run to the end of its response. It
// does not record how long the slot was held.
func (q *Queue) Release(now time.Time, id ID) DequeuedItems {
	q.usedSlots = slices.DeleteFunc(q.usedSlots, func(s slot) bool { return s.id == id })
	return q.fillSlots(now)
}

// Cancel removes a queued item whose caller no longer waits.
func (q *Queue) Cancel(id ID) {
	for _, t := range q.teams {
		index := slices.IndexFunc(t.items, func(i queuedItem) bool { return i.ID == id })
		if index < 0 {
			continue
		}
		t.items = slices.Delete(t.items, index, index+1)
		q.queuedCount--
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
func (q *Queue) recordHoldTime(holdTime time.Duration) {
	if q.holdTime == 0 {
		q.holdTime = holdTime
		return
	}
	deviation := holdTime - q.holdTime
	q.holdTime += time.Duration(averageWeight * float64(deviation))
	q.holdDeviation += time.Duration(averageWeight * float64(deviation.Abs()-q.holdDeviation))
}

// recordWaitError updates the moving averages of the wait error, which is the actual
// minus the estimated wait.
func (q *Queue) recordWaitError(waitError time.Duration) {
	q.waitError += time.Duration(averageWeight * float64(waitError-q.waitError))
	q.waitErrorDeviation += time.Duration(averageWeight * float64((waitError-q.waitError).Abs()-q.waitErrorDeviation))
}

// requiredTime returns the time that an item needs after its estimated wait: the
// average hold time, plus margins for longer runs and longer waits.
func (q *Queue) requiredTime() time.Duration {
	return q.holdTime + holdDeviations*q.holdDeviation + max(0, q.waitError+waitDeviations*q.waitErrorDeviation)
}

// fillSlots gives free slots to queued items in the order of nextTeam and of deadlines.
// If the next item is expected to finish after its deadline, fillSlots removes it from
// the queue without admitting it.
func (q *Queue) fillSlots(now time.Time) DequeuedItems {
	var dequeued DequeuedItems
	for q.queuedCount > 0 && len(q.usedSlots) < q.slots() {
		t := q.nextTeam()
		i := t.items[0]
		t.items = slices.Delete(t.items, 0, 1)
		q.queuedCount--
		q.recordWaitError(now.Sub(i.offeredAt) - i.estimatedWait)
		if i.Deadline.HasPassed(now.Add(q.holdTime + 2*q.holdDeviation)) {
			dequeued.LateIDs = append(dequeued.LateIDs, i.ID)
		} else {
			q.admit(now, t, i.ID)
			dequeued.AdmittedIDs = append(dequeued.AdmittedIDs, i.ID)
		}
		q.removeIdleTeam(t)
	}
	return dequeued
}

// admit gives a slot to an item and advances the virtual time of its team.
func (q *Queue) admit(now time.Time, t *team, id ID) {
	q.usedSlots = append(q.usedSlots, slot{id: id, startedAt: now})
	t.virtualTime = max(t.virtualTime, q.virtualTime)
	q.virtualTime = t.virtualTime
	t.virtualTime += 1 / t.share
}

// nextTeam returns the team whose first item gets the next slot, or nil if no items
// are queued.
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
	if t.virtualTime != other.virtualTime {
		return t.virtualTime < other.virtualTime
	}
	return t.name < other.name
}

// insertPosition returns the index at which to insert an item in t.items, which is
// sorted by deadline. Items with the same deadline keep the order in which they were
// offered. Items without a deadline go first.
func (t *team) insertPosition(i Item) int {
	index, _ := slices.BinarySearchFunc(t.items, i, func(a queuedItem, b Item) int {
		if a.Deadline.At.After(b.Deadline.At) {
			return 1
		}
		return -1
	})
	return index
}

// estimateWait estimates how long an item at a position in its team's queue waits: until
// slots have become free for all items ahead of it and for the item itself. Teams of the
// same priority get slots in proportion to their shares.
func (q *Queue) estimateWait(now time.Time, t *team, position int) time.Duration {
	itemsAhead := float64(position)
	for _, other := range q.teams {
		switch {
		case other == t || other.priority < t.priority:
		case other.priority > t.priority:
			itemsAhead += float64(len(other.items))
		default:
			itemsAhead += min(float64(len(other.items)), float64(position+1)*other.share/t.share)
		}
	}
	return q.estimateSlotWait(now, int(itemsAhead))
}

// estimateSlotWait estimates the time until a slot is free for an item that has
// itemsAhead items ahead of it.
func (q *Queue) estimateSlotWait(now time.Time, itemsAhead int) time.Duration {
	if len(q.usedSlots) == 0 {
		return 0
	}
	itemsAhead += max(0, len(q.usedSlots)-q.slots())
	rounds := time.Duration(itemsAhead/len(q.usedSlots) + 1)
	freeAt := q.usedSlots[itemsAhead%len(q.usedSlots)].startedAt.Add(rounds * q.holdTime)
	return max(0, freeAt.Sub(now))
}

// delaysTeamPastDeadline reports whether a new item inserted at a position would make a
// queued item of its team miss its deadline. The new item is refused in that case.
func (q *Queue) delaysTeamPastDeadline(now time.Time, t *team, position int) bool {
	for i := position; i < len(t.items); i++ {
		if q.missesDeadline(now, t, i, i+1) {
			return true
		}
	}
	return false
}

// removeLateItems removes and returns the queued items that are expected to miss their
// deadlines. It leaves the team of the new item and teams of higher priority unchanged.
func (q *Queue) removeLateItems(now time.Time, newItemTeam *team) []ID {
	var lateIDs []ID
	for _, t := range q.teams {
		if t == newItemTeam || t.priority > newItemTeam.priority {
			continue
		}
		for i := len(t.items) - 1; i >= 0; i-- {
			if !q.missesDeadline(now, t, i, i) {
				continue
			}
			lateIDs = append(lateIDs, t.items[i].ID)
			t.items = slices.Delete(t.items, i, i+1)
			q.queuedCount--
		}
		q.removeIdleTeam(t)
	}
	slices.Sort(lateIDs)
	return lateIDs
}

// missesDeadline reports whether item i of a team would miss its deadline if it were at
// the given position of the team's queue.
func (q *Queue) missesDeadline(now time.Time, t *team, i, position int) bool {
	d := t.items[i].Deadline
	return !d.At.IsZero() && q.estimateWait(now, t, position)+q.requiredTime() > d.Remaining(now)
}

// teamFor returns the team of an item, which it creates if necessary, and sets the
// team's priority and share to those of the item.
func (q *Queue) teamFor(i Item) *team {
	if q.teams == nil {
		q.teams = make(map[domain.TeamName]*team)
	}
	t := q.teams[i.Team]
	if t == nil {
		t = &team{name: i.Team, virtualTime: q.virtualTime}
		q.teams[i.Team] = t
	}
	t.priority, t.share = i.Priority, i.Share
	if t.share <= 0 {
		t.share = 1
	}
	return t
}

// removeIdleTeam removes a team that has no queued items, unless its virtual time is
// ahead of the queue's: such a team must keep its virtual time, or its next items would
// get more slots than its share.
func (q *Queue) removeIdleTeam(t *team) {
	if len(t.items) == 0 && t.virtualTime <= q.virtualTime {
		delete(q.teams, t.name)
	}
}
