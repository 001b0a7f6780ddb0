package fold

import (
	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumCommands is the length of the deduplication window: a key is known until
	// this many later claims have been accepted.
	MaximumCommands = 32768
	// MaximumOutcomesWithBody is how many of the latest claims keep the body of their response;
	// earlier ones lose the body but keep the status.
	MaximumOutcomesWithBody = 4096
	// maximumContentTypeBytes is the length of the longest content type that is stored.
	maximumContentTypeBytes = 256
)

// CommandState is the progress of a claimed command.
type CommandState int

// The states of a command.
const (
	// CommandRunning commands may have been forwarded; only the holder of the claim
	// knows whether they were.
	CommandRunning CommandState = iota
	// CommandDone commands have an outcome.
	CommandDone
)

// Command is a command that was claimed by its idempotency key.
type Command struct {
	Key   CommandKey
	State CommandState
	// Holder is the only node that may forward the command, once.
	Holder domain.NodeID
	// Request is the hash of the request; a retry must have the same.
	Request [32]byte
	// ClaimedAt is the decision offset of the claim.
	ClaimedAt domain.Offset
	// Number counts claims from 1; the deduplication window is a range of numbers.
	Number uint64
	// Status, ContentType, Body and Truncated are the outcome of a CommandDone command.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// commands holds the claims in the deduplication window.
type commands struct {
	byKey map[CommandKey]*Command
	// slots holds the claim of each number at index number modulo MaximumCommands, or nil
	// if it was abandoned.
	slots []*Command
	// claims counts all claims that were accepted.
	claims uint64
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
	c.claims++
	c.add(&Command{Key: r.Key, Holder: n, Request: r.Request, ClaimedAt: o, Number: c.claims})
	return Accepted
}

// add inserts the latest claim and evicts the one that leaves the window.
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

// runningClaim returns the running claim that node n holds for key k.
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
	if m.Number+MaximumOutcomesWithBody <= c.claims {
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
