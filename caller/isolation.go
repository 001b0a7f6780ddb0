package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// spreadTime is how long a suspect waits before it runs, so that what other nodes
// saw of it arrives first.
const spreadTime = 100 * time.Millisecond

// isolation keeps the contents under suspicion, and the servers on which one runs
// alone. The zero isolation is ready for use.
type isolation struct {
	mu      sync.Mutex
	list    suspects.List
	servers map[domain.ServerID]*turn
}

// turn lets one suspect at a time run on a server.
type turn struct {
	taken chan struct{}
	users int
}

func (i *isolation) standing(content [32]byte) suspects.Standing {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, _ := i.list.Standing(time.Now(), content)
	return s
}

// refusedFor returns how long a content is still refused, or zero.
func (i *isolation) refusedFor(content [32]byte) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, left := i.list.Standing(time.Now(), content)
	if s != suspects.Refused {
		return 0
	}
	return left
}

// maximumTurns bounds the suspects of a node that wait for one server.
const maximumTurns = 64

// turn returns the turns of a server, which drop gives back, or nil where too many
// wait.
func (i *isolation) turn(s domain.ServerID) *turn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.servers == nil {
		i.servers = make(map[domain.ServerID]*turn)
	}
	t := i.servers[s]
	if t == nil {
		t = &turn{taken: make(chan struct{}, 1)}
		i.servers[s] = t
	}
	if t.users >= maximumTurns {
		return nil
	}
	t.users++
	return t
}

func (i *isolation) drop(s domain.ServerID, t *turn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	t.users--
	if t.users == 0 {
		delete(i.servers, s)
	}
}

// ApplySuspects takes in what other nodes saw of suspected contents.
func (a *API) ApplySuspects(s []peer.Suspect) {
	reports := make([]suspects.Report, len(s))
	for i := range s {
		reports[i] = suspects.Report(s[i])
	}
	a.isolation.mu.Lock()
	defer a.isolation.mu.Unlock()
	a.isolation.list.ApplyReports(time.Now(), reports)
}

// crashed counts a server that crashed under an attempt and tells other nodes.
func (a *API) crashed(content [32]byte, t *attempt) {
	a.isolation.mu.Lock()
	report := a.isolation.list.RecordCrash(time.Now(), content, t.server, t.alone, t.begun)
	a.isolation.mu.Unlock()
	a.Scope.Counter("suspects").Inc(1)
	a.BroadcastSuspects([]peer.Suspect{peer.Suspect(report)})
}

// completed clears the content of an answer that one attempt made whole. A
// resumed one proves nothing of the part before.
func (s *session) completed() {
	a := s.api
	if s.current.resumed {
		return
	}
	a.isolation.mu.Lock()
	report, was := a.isolation.list.RecordCompletion(s.call.content)
	a.isolation.mu.Unlock()
	if was {
		a.BroadcastSuspects([]peer.Suspect{peer.Suspect(report)})
	}
}

// refused is the end of a request whose content is refused.
func (s *session) refused() error {
	left := s.api.isolation.refusedFor(s.call.content)
	if left > 0 && s.last != nil {
		// What other nodes saw of the same crash may be milder.
		if err := s.pauseFor(spreadTime); err != nil {
			return err
		}
		left = s.api.isolation.refusedFor(s.call.content)
	}
	if left == 0 {
		return nil
	}
	err := s.give(verdict.Quarantined, "this request crashed backend servers and is refused for now", s.last)
	return verdict.Of(err).WithRetryAfter(left)
}

// runAlone runs one attempt of a suspected content while no other suspect of this
// node runs on its server.
func (s *session) runAlone(set routing.Set) error {
	if s.slot != nil {
		s.slot.release()
		s.slot = nil
	}
	if err := s.pauseFor(spreadTime); err != nil {
		return err
	}
	if err := s.pauseFor(suspects.DelayToNextSlot(time.Now(), s.call.content)); err != nil {
		return err
	}
	i, ok := s.api.chooser.ChooseByRendezvousHash(set, s.choice(s.exclude))
	if !ok {
		s.exclude = nil
		return s.pause()
	}
	target := &set.Replicas[i]
	release, err := s.takeTurn(target.Server)
	if err == nil {
		err = s.refused()
	}
	if err == nil && s.owesRetry {
		s.owesRetry = false
		err = s.spend(broken, s.last)
	}
	if err != nil {
		if release != nil {
			release()
		}
		s.api.chooser.Done(target.Server)
		return err
	}
	s.alone, s.endTurn = true, release
	if err := s.run(set, target); err != nil || s.current == nil {
		s.leaveTurn()
		return err
	}
	return nil
}

// takeTurn waits for the only place of suspects on a server.
func (s *session) takeTurn(server domain.ServerID) (release func(), err error) {
	turns := &s.api.isolation
	t := turns.turn(server)
	if t == nil {
		err := s.give(verdict.QueueFull, "too many suspected requests wait", s.last)
		return nil, verdict.Of(err).WithRetryAfter(spreadTime)
	}
	select {
	case t.taken <- struct{}{}:
		return func() { <-t.taken; turns.drop(server, t) }, nil
	case <-s.ctx.Done():
		turns.drop(server, t)
		return nil, s.ended()
	}
}

// leaveTurn lets the next suspect run.
func (s *session) leaveTurn() {
	s.alone = false
	if s.endTurn != nil {
		s.endTurn()
		s.endTurn = nil
	}
}
