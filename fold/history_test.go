package fold

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// commandNode is a node that claims, forwards and finishes commands by what its
// own fold says. It reads the log late and may die.
type commandNode struct {
	name     domain.NodeID
	state    State
	next     domain.Sequence
	restarts int
	// sent are its batches, any of which may be appended again.
	sent []Batch
	// forwarding are commands that it sent to the service and has no outcome of.
	forwarding map[CommandKey]bool
}

// commandWorld is a log, nodes and a service that counts runs.
type commandWorld struct {
	log   []Batch
	nodes []*commandNode
	runs  map[CommandKey]int
	// answers are the bodies that the service gave.
	answers map[CommandKey]string
}

func newCommandNode(i, restarts int) *commandNode {
	return &commandNode{name: domain.NodeID(fmt.Sprintf("n%d-%d", i, restarts)), next: 1, restarts: restarts, forwarding: map[CommandKey]bool{}}
}

// propose appends a record; the append may take effect, be lost, or come twice.
func (w *commandWorld) propose(t *rapid.T, n *commandNode, r Record) {
	b := Batch{Node: n.name, First: n.next, Records: []Record{r}}
	n.next++
	n.sent = append(n.sent, b)
	for range rapid.IntRange(0, 2).Draw(t, "times") {
		w.log = append(w.log, b)
	}
}

// claim proposes a claim for a request with a key, as any node does that does not
// know the key.
func (w *commandWorld) claim(t *rapid.T) {
	n := w.pick(t)
	key := CommandKey{byte(rapid.IntRange(1, 2).Draw(t, "key"))}
	if c, known := n.state.Command(key); known {
		w.checkKnown(t, c)
		return
	}
	w.propose(t, n, CommandClaimed{Key: key})
}

// checkKnown asserts that a resend gets the outcome of the run.
func (w *commandWorld) checkKnown(t *rapid.T, c Command) {
	if c.State == CommandDone && string(c.Body) != w.answers[c.Key] {
		t.Fatalf("a resend gets %q, the service answered %q", c.Body, w.answers[c.Key])
	}
}

// again appends an old batch once more, as a late or repeated append does.
func (w *commandWorld) again(t *rapid.T) {
	if n := w.pick(t); len(n.sent) > 0 {
		w.log = append(w.log, rapid.SampledFrom(n.sent).Draw(t, "batch"))
	}
}

// read lets a node fold what it has not read of the log, up to four records.
func (w *commandWorld) read(t *rapid.T) {
	n := w.pick(t)
	for range rapid.IntRange(1, 4).Draw(t, "records") {
		w.readOne(t, n)
	}
}

// readOne folds one more record at a node. A node whose claim is accepted forwards
// the command, or gives the claim back without having sent it.
func (w *commandWorld) readOne(t *rapid.T, n *commandNode) {
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
	w.answers[claimed.Key] = fmt.Sprint(n.name, " ran it")
	n.forwarding[claimed.Key] = true
}

// finish records the outcome of a command that a node forwarded.
func (w *commandWorld) finish(t *rapid.T) {
	n := w.pick(t)
	for k := range 5 {
		key := CommandKey{byte(k)}
		if n.forwarding[key] {
			delete(n.forwarding, key)
			w.propose(t, n, CommandFinished{Key: key, Body: []byte(w.answers[key])})
			return
		}
	}
}

// die replaces a node by a new process, which folds the log from its start.
func (w *commandWorld) die(t *rapid.T) {
	i := rapid.IntRange(0, 4*len(w.nodes)).Draw(t, "node")
	if i >= len(w.nodes) {
		return
	}
	w.nodes[i] = newCommandNode(i, w.nodes[i].restarts+1)
}

func (w *commandWorld) pick(t *rapid.T) *commandNode {
	return rapid.SampledFrom(w.nodes).Draw(t, "node")
}

// TestInvariantCommandsRunAtMostOnce checks histories of commands that are sent
// and sent again at three nodes which read late, lose and repeat appends, and die.
func TestInvariantCommandsRunAtMostOnce(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &commandWorld{runs: map[CommandKey]int{}, answers: map[CommandKey]string{}}
		for i := range 3 {
			w.nodes = append(w.nodes, newCommandNode(i, 0))
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": w.claim, "again": w.again, "read": w.read, "readMore": w.read, "finish": w.finish, "die": w.die,
			"": func(t *rapid.T) {
				for k, got := range w.runs {
					if got > 1 {
						t.Fatalf("key %d ran %d times, want at most once", k[0], got)
					}
				}
			},
		})
		ran += len(w.runs)
	})
	if ran == 0 {
		t.Error("no command ran in any history")
	}
	t.Logf("%d commands ran", ran)
}
