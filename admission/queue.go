// Package admission decides which requests run now, which wait and which are
// refused at once. It has no input, output or clock.
package admission

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// MaximumWaiting bounds the requests that wait in one queue.
const MaximumWaiting = 512

// holdWeight is the weight of the newest hold time in its moving average.
const holdWeight = 0.1

// spreads is how many average distances from the average hold time are planned
// for.
const (
	spreads     = 4
	waitSpreads = 2
)

// minimumRetryAfter is the shortest wait that a refusal names.
const minimumRetryAfter = time.Second

// ID names a request in one queue.
type ID uint64

// Item is one request that wants a slot.
type Item struct {
	ID   ID
	Team domain.TeamName
	// Share weighs the team against others of the same priority; zero means 1.
	Share    float64
	Priority domain.Priority
	Deadline domain.Deadline
}

// Answer is what becomes of an offered item.
type Answer int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Answer -output=answer_string.go

// The answers.
const (
	// Admitted items hold a slot until Finish.
	Admitted Answer = iota
	// Queued items wait until a Change names them.
	Queued
	// RefusedLate items would miss their deadline.
	RefusedLate
	// RefusedFull items found the queue at its bound.
	RefusedFull
)

// Decision is the answer to an offer.
type Decision struct {
	Outcome Answer
	// Wait is the estimated time until the item would have a slot.
	Wait time.Duration
	// RetryAfter is when a refused item would have a chance.
	RetryAfter time.Duration
	// Late are queued items that a queued one pushed past their deadlines, because
	// its team was owed a slot before theirs; they are refused.
	Late []ID
}

// Dequeued names the queued items that get a slot, and those that can no longer
// meet their deadline and are refused.
type Dequeued struct {
	Admitted []ID
	Late     []ID
}

// Queue holds the slots and the waiting requests of one model at one node. The
// zero Queue has one slot. It is not safe for concurrent use.
type Queue struct {
	capacity int
	// running are the held slots in the order of their start.
	running []slot
	waiting int
	teams   map[domain.TeamName]*team
	// pass is the virtual time of the last admission.
	pass float64
	// hold is the moving average of how long a slot is held.
	hold time.Duration
	// spread is the moving average of how far hold times are from hold.
	spread time.Duration
	// longer is the moving average of how much longer than estimated items waited,
	// and longerSpread how far they are from it: other nodes take slots too.
	longer, longerSpread time.Duration
}

// slot is one running item.
type slot struct {
	id      ID
	started time.Time
}

// team is the part of a queue that belongs to one team.
type team struct {
	name     domain.TeamName
	share    float64
	priority domain.Priority
	// pass grows by 1/share with each admission; the least goes next.
	pass float64
	// items are in the order of their deadlines.
	items []queued
}

// queued is a waiting item with what was estimated of its wait.
type queued struct {
	Item
	offered  time.Time
	estimate time.Duration
}

// Waiting returns how many items wait.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns how many slots are held.
func (q *Queue) Running() int { return len(q.running) }

// AverageHoldTime returns the average time that a slot is held, or zero where none was.
func (q *Queue) AverageHoldTime() time.Duration { return q.hold }

// Offer asks for a slot. An item is refused at once where it cannot be expected
// to finish by its deadline.
func (q *Queue) Offer(now time.Time, i Item) Decision {
	t := q.team(i)
	if q.waiting == 0 && len(q.running) < q.slots() {
		q.admit(now, t, i.ID)
		return Decision{Outcome: Admitted}
	}
	at := t.position(i)
	wait := q.wait(now, t, at)
	d := Decision{Outcome: Queued, Wait: wait}
	left := i.Deadline.Remaining(now)
	switch {
	case !i.Deadline.At.IsZero() && wait+q.need() > left, q.displaces(now, t, at):
		d.Outcome = RefusedLate
		d.RetryAfter = max(minimumRetryAfter, wait+q.need()-left)
	case q.waiting >= MaximumWaiting:
		d.Outcome = RefusedFull
		d.RetryAfter = max(minimumRetryAfter, wait/2)
	default:
		t.items = slices.Insert(t.items, at, queued{Item: i, offered: now, estimate: wait})
		q.waiting++
		d.Late = q.dropLate(now, t)
	}
	q.forget(t)
	return d
}

// Finish gives a slot back.
func (q *Queue) Finish(now time.Time, id ID) Dequeued {
	at := slices.IndexFunc(q.running, func(s slot) bool { return s.id == id })
	if at < 0 {
		return Dequeued{}
	}
	q.learn(now.Sub(q.running[at].started))
	q.running = slices.Delete(q.running, at, at+1)
	return q.fill(now)
}

// Release gives a slot back that was not held for as long as an answer takes.
func (q *Queue) Release(now time.Time, id ID) Dequeued {
	q.running = slices.DeleteFunc(q.running, func(s slot) bool { return s.id == id })
	return q.fill(now)
}

// Cancel takes a waiting item off the queue.
func (q *Queue) Cancel(id ID) {
	for _, t := range q.teams {
		at := slices.IndexFunc(t.items, func(i queued) bool { return i.ID == id })
		if at < 0 {
			continue
		}
		t.items = slices.Delete(t.items, at, at+1)
		q.waiting--
		q.forget(t)
		return
	}
}

// SetCapacity sets the number of slots; a queue has at least one.
func (q *Queue) SetCapacity(now time.Time, n int) Dequeued {
	q.capacity = n
	return q.fill(now)
}

func (q *Queue) slots() int { return max(1, q.capacity) }

func (q *Queue) learn(held time.Duration) {
	if q.hold == 0 {
		q.hold = held
		return
	}
	off := held - q.hold
	q.hold += time.Duration(holdWeight * float64(off))
	q.spread += time.Duration(holdWeight * float64(off.Abs()-q.spread))
}

// learnWait takes in how much longer than estimated an item waited.
func (q *Queue) learnWait(off time.Duration) {
	q.longer += time.Duration(holdWeight * float64(off-q.longer))
	q.longerSpread += time.Duration(holdWeight * float64((off-q.longer).Abs()-q.longerSpread))
}

// need is how long an item needs from when it is expected to get its slot, with
// margins for those that wait or run longer than the average.
func (q *Queue) need() time.Duration {
	return q.hold + spreads*q.spread + max(0, q.longer+waitSpreads*q.longerSpread)
}

// fill gives free slots to waiting items.
func (q *Queue) fill(now time.Time) Dequeued {
	var c Dequeued
	for q.waiting > 0 && len(q.running) < q.slots() {
		t := q.nextTeam()
		i := t.items[0]
		t.items = slices.Delete(t.items, 0, 1)
		q.waiting--
		q.learnWait(now.Sub(i.offered) - i.estimate)
		if i.Deadline.Passed(now.Add(q.hold + 2*q.spread)) {
			c.Late = append(c.Late, i.ID)
		} else {
			q.admit(now, t, i.ID)
			c.Admitted = append(c.Admitted, i.ID)
		}
		q.forget(t)
	}
	return c
}

func (q *Queue) admit(now time.Time, t *team, id ID) {
	q.running = append(q.running, slot{id: id, started: now})
	t.pass = max(t.pass, q.pass)
	q.pass = t.pass
	t.pass += 1 / t.share
}

// nextTeam is the one with the highest priority, then the least virtual time,
// then the first name.
func (q *Queue) nextTeam() *team {
	var best *team
	for _, t := range q.teams {
		if len(t.items) > 0 && (best == nil || t.before(best)) {
			best = t
		}
	}
	return best
}

func (t *team) before(o *team) bool {
	if t.priority != o.priority {
		return t.priority > o.priority
	}
	if t.pass != o.pass {
		return t.pass < o.pass
	}
	return t.name < o.name
}

// position is where an item goes by its deadline.
func (t *team) position(i Item) int {
	at, _ := slices.BinarySearchFunc(t.items, i, func(a queued, b Item) int {
		if a.Deadline.At.After(b.Deadline.At) {
			return 1
		}
		return -1
	})
	return at
}

// wait estimates how long an item at a position in its team waits: until as many
// slots have come free as items go before it.
func (q *Queue) wait(now time.Time, t *team, at int) time.Duration {
	ahead := float64(at)
	for _, o := range q.teams {
		switch {
		case o == t || o.priority < t.priority:
		case o.priority > t.priority:
			ahead += float64(len(o.items))
		default:
			ahead += min(float64(len(o.items)), float64(at+1)*o.share/t.share)
		}
	}
	return q.freeIn(now, int(ahead))
}

// freeIn estimates when a slot comes free after the given number of others.
func (q *Queue) freeIn(now time.Time, others int) time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	others += max(0, len(q.running)-q.slots())
	round := time.Duration(others/len(q.running) + 1)
	free := q.running[others%len(q.running)].started.Add(round * q.hold)
	return max(0, free.Sub(now))
}

// displaces tells whether an item at a position would push a later one of its
// own team past its deadline; those that wait were promised theirs.
func (q *Queue) displaces(now time.Time, t *team, at int) bool {
	for j := at; j < len(t.items); j++ {
		if q.late(now, t, j, j+1) {
			return true
		}
	}
	return false
}

// dropLate takes the items of other teams off the queue that are no longer
// expected to meet their deadlines.
func (q *Queue) dropLate(now time.Time, newest *team) []ID {
	var late []ID
	for _, t := range q.teams {
		if t == newest || t.priority > newest.priority {
			continue
		}
		for j := len(t.items) - 1; j >= 0; j-- {
			if !q.late(now, t, j, j) {
				continue
			}
			late = append(late, t.items[j].ID)
			t.items = slices.Delete(t.items, j, j+1)
			q.waiting--
		}
		q.forget(t)
	}
	slices.Sort(late)
	return late
}

// late tells whether item j of a team would miss its deadline at a position.
func (q *Queue) late(now time.Time, t *team, j, at int) bool {
	d := t.items[j].Deadline
	return !d.At.IsZero() && q.wait(now, t, at)+q.need() > d.Remaining(now)
}

func (q *Queue) team(i Item) *team {
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

// forget drops a team that neither waits nor owes virtual time.
func (q *Queue) forget(t *team) {
	if len(t.items) == 0 && t.pass <= q.pass {
		delete(q.teams, t.name)
	}
}
