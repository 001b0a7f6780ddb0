// Package decisions keeps a bounded record, in memory, of what a node decided
// for each request, so that operators can ask why a request went as it did. It
// holds no prompt, answer, key or body.
package decisions

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Kind says what was decided.
type Kind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind -output=kind_string.go

// The kinds of decision, roughly in the order of a request's life.
const (
	// Admitted requests passed authentication and limits.
	Admitted Kind = iota
	// Refused requests ended here with NotRun.
	Refused
	// Queued requests wait for a replica.
	Queued
	// WakeAsked means that the entry node asked the home of the model for a replica.
	WakeAsked
	// LoadAsked means that the home asked the owner of a server for a load.
	LoadAsked
	// PermitAsked means that an owner proposed to attach a permit.
	PermitAsked
	// OrderSent and OrderDone bracket an order to an engine.
	OrderSent
	OrderDone
	// Placed requests have a replica.
	Placed
	// AttemptStarted and AttemptFailed bracket one try at a backend server.
	AttemptStarted
	AttemptFailed
	// Resumed streams go on at another token or server.
	Resumed
	// ClaimAsked, ClaimWon and ClaimLost tell of a command's idempotency key.
	ClaimAsked
	ClaimWon
	ClaimLost
	// Suspected requests were in flight when a backend server crashed.
	Suspected
	// Answered requests ended whole.
	Answered
	// Failed requests ended with a verdict other than NotRun.
	Failed
	// CallerLeft requests were cancelled by their caller.
	CallerLeft
)

// Step is one decision.
type Step struct {
	At   time.Time
	Kind Kind
	// Node decided.
	Node domain.NodeID
	// Server and Model are set where the decision is about one.
	Server domain.ServerID
	Model  domain.ModelName
	// Detail is a short reason for a person; text over MaximumDetail is cut.
	Detail string
}

// Entry is what one node decided for one request, oldest step first.
type Entry struct {
	Request domain.RequestID
	Team    domain.TeamName
	Steps   []Step
	// Dropped counts steps that did not fit; the first steps and the last ones
	// are kept.
	Dropped int
}

// Bounds of a journal.
const (
	// DefaultRequests is how many requests a zero Journal remembers.
	DefaultRequests = 2048
	// MaximumSteps is how many steps of one request are kept.
	MaximumSteps = 32
	// MaximumDetail is the longest detail in bytes.
	MaximumDetail = 160
	// MaximumIDLength is the longest request id in bytes; a longer one is not recorded.
	MaximumIDLength = 128
)

// Journal remembers the last requests of a node. The zero Journal is ready for
// use and safe for concurrent use.
type Journal struct {
	// Requests is how many requests are remembered; zero means
	// DefaultRequests. It must not change once the journal is in use.
	Requests int

	mu      sync.Mutex
	entries map[domain.RequestID]*Entry
	order   []domain.RequestID
	oldest  int
}

// Record adds a step to a request, dropping the oldest request where the
// journal is full.
func (j *Journal) Record(id domain.RequestID, team domain.TeamName, s Step) {
	if id == "" || len(id) > MaximumIDLength {
		return
	}
	if len(s.Detail) > MaximumDetail {
		s.Detail = s.Detail[:MaximumDetail]
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.entry(id)
	if team != "" {
		e.Team = team
	}
	if len(e.Steps) < MaximumSteps {
		e.Steps = append(e.Steps, s)
		return
	}
	copy(e.Steps[MaximumSteps/2:], e.Steps[MaximumSteps/2+1:])
	e.Steps[MaximumSteps-1] = s
	e.Dropped++
}

// entry returns the entry of a request, making one if need be.
func (j *Journal) entry(id domain.RequestID) *Entry {
	if e, ok := j.entries[id]; ok {
		return e
	}
	if j.entries == nil {
		j.entries = make(map[domain.RequestID]*Entry)
	}
	e := &Entry{Request: id}
	j.entries[id] = e
	if len(j.order) < j.limit() {
		j.order = append(j.order, id)
		return e
	}
	delete(j.entries, j.order[j.oldest])
	j.order[j.oldest] = id
	j.oldest = (j.oldest + 1) % len(j.order)
	return e
}

func (j *Journal) limit() int {
	if j.Requests > 0 {
		return j.Requests
	}
	return DefaultRequests
}

// Find returns a copy of what is remembered of a request.
func (j *Journal) Find(id domain.RequestID) (Entry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[id]
	if !ok {
		return Entry{}, false
	}
	c := *e
	c.Steps = slices.Clone(e.Steps)
	return c, true
}

// Len is how many requests are remembered.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.entries)
}

// Merge joins what several nodes remember of one request, in order of time.
func Merge(entries ...Entry) Entry {
	var merged Entry
	for _, e := range entries {
		merged.Request = e.Request
		if e.Team != "" {
			merged.Team = e.Team
		}
		merged.Steps = append(merged.Steps, e.Steps...)
		merged.Dropped += e.Dropped
	}
	slices.SortStableFunc(merged.Steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return merged
}
