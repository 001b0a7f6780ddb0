package fold

import (
	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumCommands is the length of the deduplication window, counted in claims. The
	// State keeps a claim until this many later claims have been accepted.
	MaximumCommands = 32768
	// MaximumOutcomesWithBody is the number of latest claims whose response bodies are
	// stored. Earlier claims keep the status and the content type, but not the body.
	MaximumOutcomesWithBody = 4096
	// maximumContentTypeBytes limits the content type of a response. A CommandFinished
	// with a longer one is Malformed.
	maximumContentTypeBytes = 256
)

// CommandState is the progress of a claimed command.
type CommandState int

// The states of a command.
const (
	// CommandRunning: the command may have been forwarded. Only the holder of the claim
	// knows whether it was.
	CommandRunning CommandState = iota
	// CommandDone: the outcome of the command is known.
	CommandDone
)

// Command is the claim of an idempotency key, with the outcome of the command once it is
// known.
type Command struct {
	Key   CommandKey
	State CommandState
	// Holder is the only node that may forward the command, once.
	Holder domain.NodeID
	// Request is the hash of the request. A retry must have the same hash.
	Request [32]byte
	// ClaimedAt is the decision offset of the claim.
	ClaimedAt domain.Offset
	// Number is 1 for the first accepted claim and rises by 1 with each further one. The
	// deduplication window holds the latest MaximumCommands numbers.
	Number uint64
	// Status, ContentType, Body and Truncated are the outcome of a CommandDone command.
	// Truncated is true if the response had a body that is not stored.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// commands holds the claims in the deduplication window.
type commands struct {
	byKey map[CommandKey]*Command
	// slots has the claim with number n at index n modulo MaximumCommands, or nil if that
	// claim was abandoned.
	slots []*Command
	// acceptedClaims counts the claims accepted so far, including abandoned and evicted
	// ones.
	acceptedClaims uint64
}

// Command returns the claim of a key in the deduplication window.
func (s *State) Command(k CommandKey) (Command, bool) {
	c := s.commands.byKey[k]
	if c == nil {
		return Command{}, false
	}
	return *c, true
}

func (c *commands) claim(o domain.Offset, n domain.NodeID, r CommandClaimed) Rejection {
	if c.byKey[r.Key] != nil {
		return AlreadyClaimed
	}
	c.acceptedClaims++
	c.add(&Command{Key: r.Key, Holder: n, Request: r.Request, ClaimedAt: o, Number: c.acceptedClaims})
	return Accepted
}

// add inserts the latest claim and evicts the claim that leaves the deduplication window.
// It also drops the body of the claim that is no longer among the latest
// MaximumOutcomesWithBody.
func (c *commands) add(m *Command) {
	if c.slots == nil {
		c.slots = make([]*Command, MaximumCommands)
	}
	slot := m.Number % MaximumCommands
	if old := c.slots[slot]; old != nil {
		delete(c.byKey, old.Key)
	}
	c.slots[slot] = m
	put(&c.byKey, m.Key, m)
	if m.Number > MaximumOutcomesWithBody {
		c.slots[(m.Number-MaximumOutcomesWithBody)%MaximumCommands].dropBody()
	}
}

// dropBody drops the body of a response and marks the outcome as truncated.
func (m *Command) dropBody() {
	if m == nil || len(m.Body) == 0 {
		return
	}
	m.Body = nil
	m.Truncated = true
}

// runningClaim returns the claim that node n holds for key k, or NotHeld if there is none
// or it has an outcome.
func (c *commands) runningClaim(k CommandKey, n domain.NodeID) (*Command, Rejection) {
	m := c.byKey[k]
	if m == nil || m.Holder != n || m.State != CommandRunning {
		return nil, NotHeld
	}
	return m, Accepted
}

func (c *commands) finish(n domain.NodeID, r CommandFinished) Rejection {
	m, rejection := c.runningClaim(r.Key, n)
	if rejection != Accepted {
		return rejection
	}
	if len(r.Body) > int(MaximumOutcomeBody) || len(r.ContentType) > maximumContentTypeBytes {
		return Malformed
	}
	m.State = CommandDone
	m.Status, m.ContentType, m.Body, m.Truncated = r.Status, r.ContentType, r.Body, r.Truncated
	if m.Number+MaximumOutcomesWithBody <= c.acceptedClaims {
		m.dropBody()
	}
	return Accepted
}

func (c *commands) abandon(n domain.NodeID, r CommandAbandoned) Rejection {
	m, rejection := c.runningClaim(r.Key, n)
	if rejection != Accepted {
		return rejection
	}
	delete(c.byKey, m.Key)
	c.slots[m.Number%MaximumCommands] = nil
	return Accepted
}
