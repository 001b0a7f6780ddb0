package fold

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// commandNode is a simulated node that claims, forwards and finishes commands according to
// its own State. The State may be behind the log, and the node may restart.
type commandNode struct {
	name         domain.NodeID
	state        State
	nextSequence domain.Sequence
	restarts     int
	// proposed are the batches of the node, any of which may be appended again.
	proposed []Batch
	// forwarding are the commands that the node has sent to the service and whose outcomes
	// it has not proposed yet.
	forwarding map[CommandKey]bool
}

// commandSimulation simulates a log, nodes and a service, and counts how often each command
// runs.
type commandSimulation struct {
	log   []Batch
	nodes []*commandNode
	runs  map[CommandKey]int
	// responses are the response bodies of the service.
	responses map[CommandKey]string
}

func newCommandNode(i, restarts int) *commandNode {
	return &commandNode{name: domain.NodeID(fmt.Sprintf("n%d-%d", i, restarts)), nextSequence: 1, restarts: restarts, forwarding: map[CommandKey]bool{}}
}

// propose appends a record. The append may succeed, be lost, or succeed twice.
func (w *commandSimulation) propose(t *rapid.T, n *commandNode, r Record) {
	b := Batch{Node: n.name, First: n.nextSequence, Records: []Record{r}}
	n.nextSequence++
	n.proposed = append(n.proposed, b)
	for range rapid.IntRange(0, 2).Draw(t, "times") {
		w.log = append(w.log, b)
	}
}

// claim simulates a request with an idempotency key at a node. The node proposes a claim if
// its State does not have the key. Otherwise the request is a retry.
func (w *commandSimulation) claim(t *rapid.T) {
	n := w.pickNode(t)
	key := CommandKey{byte(rapid.IntRange(1, 2).Draw(t, "key"))}
	if c, known := n.state.Command(key); known {
		w.checkRetryResponse(t, c)
		return
	}
	w.propose(t, n, CommandClaimed{Key: key})
}

// checkRetryResponse asserts that the outcome of a finished command is the response of the
// service.
func (w *commandSimulation) checkRetryResponse(t *rapid.T, c Command) {
	if c.State == CommandDone && string(c.Body) != w.responses[c.Key] {
		t.Fatalf("retry: got response %q, want %q", c.Body, w.responses[c.Key])
	}
}

// replayBatch appends an old batch again, as a delayed or retried append does.
func (w *commandSimulation) replayBatch(t *rapid.T) {
	if n := w.pickNode(t); len(n.proposed) > 0 {
		w.log = append(w.log, rapid.SampledFrom(n.proposed).Draw(t, "batch"))
	}
}

// readRecords makes a node apply up to four more records of the log.
func (w *commandSimulation) readRecords(t *rapid.T) {
	n := w.pickNode(t)
	for range rapid.IntRange(1, 4).Draw(t, "records") {
		w.readRecord(t, n)
	}
}

// readRecord makes a node apply one more record. A node whose claim is accepted forwards
// the command, or abandons the claim without sending the command.
func (w *commandSimulation) readRecord(t *rapid.T, n *commandNode) {
	at := int(n.state.Offset())
	if at == len(w.log) {
		return
	}
	b := w.log[at]
	got := n.state.Apply(domain.Offset(at+1), b)[0].Rejection
	claimed, ok := b.Records[0].(CommandClaimed)
	if !ok || b.Node != n.name || got != Accepted {
		return
	}
	if rapid.Bool().Draw(t, "abandon") {
		w.propose(t, n, CommandAbandoned{Key: claimed.Key})
		return
	}
	w.runs[claimed.Key]++
	w.responses[claimed.Key] = fmt.Sprint(n.name, " ran it")
	n.forwarding[claimed.Key] = true
}

// finish proposes the outcome of a command that a node forwarded.
func (w *commandSimulation) finish(t *rapid.T) {
	n := w.pickNode(t)
	for k := range 5 {
		key := CommandKey{byte(k)}
		if n.forwarding[key] {
			delete(n.forwarding, key)
			w.propose(t, n, CommandFinished{Key: key, Body: []byte(w.responses[key])})
			return
		}
	}
}

// restartNode sometimes replaces a node by a new process, which applies the log from its
// first batch.
func (w *commandSimulation) restartNode(t *rapid.T) {
	i := rapid.IntRange(0, 4*len(w.nodes)).Draw(t, "node")
	if i >= len(w.nodes) {
		return
	}
	w.nodes[i] = newCommandNode(i, w.nodes[i].restarts+1)
}

func (w *commandSimulation) pickNode(t *rapid.T) *commandNode {
	return rapid.SampledFrom(w.nodes).Draw(t, "node")
}

// TestInvariantCommandsRunAtMostOnce checks that no command runs twice and no retry gets a
// wrong response. Three nodes receive commands and retries, fall behind the log, lose and
// repeat appends, and restart.
func TestInvariantCommandsRunAtMostOnce(t *testing.T) {
	commandsRun := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &commandSimulation{runs: map[CommandKey]int{}, responses: map[CommandKey]string{}}
		for i := range 3 {
			w.nodes = append(w.nodes, newCommandNode(i, 0))
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": w.claim, "again": w.replayBatch, "read": w.readRecords, "readMore": w.readRecords, "finish": w.finish, "die": w.restartNode,
			"": func(t *rapid.T) {
				for k, got := range w.runs {
					if got > 1 {
						t.Fatalf("key %d ran %d times, want at most once", k[0], got)
					}
				}
			},
		})
		commandsRun += len(w.runs)
	})
	if commandsRun == 0 {
		t.Error("no command ran in any history")
	}
	t.Logf("%d commands ran", commandsRun)
}
