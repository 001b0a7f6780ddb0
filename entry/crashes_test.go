package entry

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// countRefusing returns the number of nodes that refuse testContent.
func (f *testFleet) countRefusing() int {
	count := 0
	for _, n := range f.nodes {
		if n.contents.isRefused() {
			count++
		}
	}
	return count
}

// report records the crash of a server at a node, and reports it.
func (n *testNode) report(id domain.ServerID) { n.ReportCrash(n.contents.recordCrash(id)) }

// Guards against BUDGET: the reports of earlier crashes were lost with an owner or a link, and a node that
// knew of them told nobody: each of the others sent the content to two more servers. One crash more makes them
// all refuse it, whoever sees it.
func TestNodesTellWhatOthersHaveMissed(t *testing.T) {
	for name, reports := range map[string]func(knowing, other *testNode){
		"another node sees the next crash":  func(_, other *testNode) { other.report("c") },
		"the node that knows sees the next": func(knowing, _ *testNode) { knowing.report("c") },
		"a node has seen one crash, and sees the next": func(_, other *testNode) {
			other.contents.recordCrash("d")
			other.report("e")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 5, 0, func(f *testFleet) {
				knowing := f.nodes[1]
				if name != "a node has seen one crash, and sees the next" {
					knowing.contents.crashTwice()
				}
				reports(knowing, f.nodes[2])
				time.Sleep(time.Second)
				if got, want := f.countRefusing(), len(f.nodes); got != want {
					t.Errorf("got %d nodes that refuse the content, want all %d", got, want)
				}
			})
		})
	}
}

// Guards against BUDGET: all nodes link to a new owner, one after the other. What one of them knows reached
// the owner alone, and not the nodes that had linked before.
func TestNewOwnerTellsTheNodesThatHaveLinked(t *testing.T) {
	runFleet(t, 6, 0, func(f *testFleet) {
		for _, n := range f.nodes {
			if !n.isOwner() {
				n.contents.crashTwice()
				break
			}
		}
		f.reassign()
		time.Sleep(8 * time.Second)
		if got, want := f.countRefusing(), len(f.nodes); got != want {
			t.Errorf("got %d nodes that refuse the content, want all %d", got, want)
		}
	})
}

// A content that ran beside one crash alone is nobody's news, and stays usable at all nodes.
func TestOneCrashIsNoNews(t *testing.T) {
	runFleet(t, 4, 0, func(f *testFleet) {
		f.nodes[1].report("c")
		time.Sleep(time.Second)
		f.nodes[2].report("c")
		time.Sleep(time.Second)
		if got, want := f.countRefusing(), 0; got != want {
			t.Errorf("got %d nodes that refuse the content, want none", got)
		}
		for _, n := range f.nodes {
			if len(n.contentNews) > 0 {
				t.Errorf("%s has news %v, want none", n.Name, n.contentNews)
			}
		}
	})
}

// Guards against DENIED: the reports of one crash waited for a link to an owner, and each node that had seen the crash
// counted its report, as it came back from the owner, as a second one. The content was refused.
func TestReportThatHasWaitedIsNoSecondCrash(t *testing.T) {
	runFleet(t, 4, 0, func(f *testFleet) {
		f.mu.Lock()
		for _, n := range f.nodes {
			n.isCut.Store(true)
		}
		f.mu.Unlock()
		// The lease ends, and nobody is the owner.
		time.Sleep(8 * time.Second)
		for _, n := range f.nodes {
			n.report("c")
		}
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			n.isCut.Store(false)
		}
		time.Sleep(10 * time.Second)
		if got, want := f.countRefusing(), 0; got != want {
			t.Errorf("got %d nodes that refuse the content after one crash, want %d", got, want)
		}
	})
}
