package fold

import (
	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumCommands is the deduplication window: a key is known until so many
	// later claims were made.
	MaximumCommands = 32768
	// MaximumOutcomesWithBody is how many of the latest claims keep the body of their
	// answer; earlier ones keep the status only.
	MaximumOutcomesWithBody = 4096
	// maximumContentType is the longest content type kept, in bytes.
	maximumContentType = 256
)

// CommandState tells how far a claimed command is.
type CommandState int

// The states of a command.
const (
	// CommandRunning commands may have been forwarded; only the holder knows.
	CommandRunning CommandState = iota
	// CommandDone commands have an outcome.
	CommandDone
)

// Command is a claimed idempotency key.
type Command struct {
	Key   CommandKey
	State CommandState
	// Holder alone may forward the command, once.
	Holder domain.NodeID
	// Request is the hash that a resend must have too.
	Request [32]byte
	// ClaimedAt is the decision that claimed it.
	ClaimedAt domain.Offset
	// Number counts claims from 1; the window is a range of numbers.
	Number uint64
	// Status, ContentType, Body and Truncated are the outcome once done.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// commands are the claims of the deduplication window.
type commands struct {
	byKey map[CommandKey]*Command
	// window holds the claim of each number at number modulo MaximumCommands; nil
	// where it was abandoned.
	window []*Command
	// claims counts claims ever accepted.
	claims uint64
}

// Command returns the claim of a key that is in the window.
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

// add puts the latest claim into the window and what is too old out of it.
func (c *commands) add(m *Command) {
	if c.window == nil {
		c.window = make([]*Command, MaximumCommands)
	}
	slot := m.Number % MaximumCommands
	if old := c.window[slot]; old != nil {
		delete(c.byKey, old.Key)
	}
	c.window[slot] = m
	put(&c.byKey, m.Key, m)
	if m.Number > MaximumOutcomesWithBody {
		c.window[(m.Number-MaximumOutcomesWithBody)%MaximumCommands].dropBody()
	}
}

// dropBody forgets an answer but not that there was one.
func (m *Command) dropBody() {
	if m == nil || len(m.Body) == 0 {
		return
	}
	m.Body = nil
	m.Truncated = true
}

// held finds a running claim of a node.
func (c *commands) held(k CommandKey, n domain.NodeID) (*Command, Rejection) {
	m := c.byKey[k]
	if m == nil || m.Holder != n || m.State != CommandRunning {
		return nil, NotHeld
	}
	return m, Accepted
}

func (c *commands) finish(n domain.NodeID, r CommandFinished) Rejection {
	m, rejection := c.held(r.Key, n)
	if rejection != Accepted {
		return rejection
	}
	if len(r.Body) > int(MaximumOutcomeBody) || len(r.ContentType) > maximumContentType {
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
	m, rejection := c.held(r.Key, n)
	if rejection != Accepted {
		return rejection
	}
	delete(c.byKey, m.Key)
	c.window[m.Number%MaximumCommands] = nil
	return Accepted
}
