// Package decisions records the decisions of a node for each recent request in a bounded
// in-memory journal. The node and its request handlers write it; the administration API
// merges the entries of all nodes when an operator asks about a request. An entry never
// holds a prompt, response, key or body.
package decisions

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Kind is the kind of a decision.
type Kind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind -output=kind_string.go

// The kinds of decision, roughly in the order in which a request meets them.
const (
	// Admitted requests passed authentication and limits.
	Admitted Kind = iota
	// Refused requests ended with the verdict NotRun.
	Refused
	// Queued requests wait for a replica.
	Queued
	// WakeAsked means that the entry node requested a cold start from the model's
	// coordinator.
	WakeAsked
	// LoadAsked means that the coordinator requested a load from the owner of a server.
	LoadAsked
	// PermitAsked means that the owner of a server proposed to attach a permit.
	PermitAsked
	// OrderSent and OrderDone are the start and the end of an order to an engine.
	OrderSent
	OrderDone
	// Placed requests were assigned a replica.
	Placed
	// AttemptStarted and AttemptFailed are the start and the failure of one attempt at a
	// backend server.
	AttemptStarted
	AttemptFailed
	// Resumed streams continue from a later token or at another backend server.
	Resumed
	// ClaimAsked, ClaimWon and ClaimLost are the request to claim a command's
	// idempotency key and its outcomes.
	ClaimAsked
	ClaimWon
	ClaimLost
	// Suspected requests were in flight when a backend server crashed.
	Suspected
	// Answered requests got their whole response.
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
	// Node is the node that decided.
	Node domain.NodeID
	// Server and Model are empty where the decision concerns none.
	Server domain.ServerID
	Model  domain.ModelName
	// Detail is a short explanation for operators, truncated to MaximumDetail.
	Detail string
}

// Entry holds the decisions for one request, oldest first: those of one node, or of all
// nodes after Merge.
type Entry struct {
	Request domain.RequestID
	Team    domain.TeamName
	Steps   []Step
	// Dropped is the number of steps that did not fit. The first and the last steps are
	// kept.
	Dropped int
}

// Bounds of a journal.
const (
	// DefaultRequests is the capacity of a zero Journal, in requests.
	DefaultRequests = 2048
	// MaximumSteps bounds the steps of one request.
	MaximumSteps = 32
	// MaximumDetail bounds Step.Detail, in bytes.
	MaximumDetail = 160
	// MaximumIDLength bounds a request id, in bytes. Requests with a longer one are not
	// recorded.
	MaximumIDLength = 128
)

// Journal holds the entries of the newest requests of a node. The zero Journal is ready
// for use. It is safe for concurrent use.
type Journal struct {
	// Capacity is the number of requests that the journal holds; zero means
	// DefaultRequests. It must not be changed after the first use.
	Capacity int

	mu      sync.Mutex
	entries map[domain.RequestID]*Entry
	ids     []domain.RequestID
	oldest  int
}

// Record adds a step to a request. Where the journal is full, a new request replaces the
// oldest one.
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

// entry returns the entry of a request and creates it where there is none.
func (j *Journal) entry(id domain.RequestID) *Entry {
	if e, ok := j.entries[id]; ok {
		return e
	}
	if j.entries == nil {
		j.entries = make(map[domain.RequestID]*Entry)
	}
	e := &Entry{Request: id}
	j.entries[id] = e
	if len(j.ids) < j.capacity() {
		j.ids = append(j.ids, id)
		return e
	}
	delete(j.entries, j.ids[j.oldest])
	j.ids[j.oldest] = id
	j.oldest = (j.oldest + 1) % len(j.ids)
	return e
}

func (j *Journal) capacity() int {
	if j.Capacity > 0 {
		return j.Capacity
	}
	return DefaultRequests
}

// Find returns a copy of the entry of a request.
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

// Len returns the number of requests in the journal.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.entries)
}

// Merge combines the entries of several nodes for one request and sorts the steps by time.
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
