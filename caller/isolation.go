package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// suspectSyncDelay is how long a suspected request waits before it runs, so that crash
// reports of other nodes arrive first.
const suspectSyncDelay = 100 * time.Millisecond

// isolation holds the request contents (hashes) that are suspected of crashing servers, and
// locks that let one of them at a time run on a server. The zero isolation is ready for use.
type isolation struct {
	mu       sync.Mutex
	suspects suspects.List
	// traits are the beginnings of conversations that crash servers, whatever follows them.
	traits suspects.Traits
	locks  map[domain.ServerID]*serverLock
}

// serverLock is held by the suspected request that runs on a server. It is removed when
// no request refers to it.
type serverLock struct {
	held       chan struct{}
	references int
}

// standing returns whether a request content may run as usual, must run in isolation or is
// refused.
func (i *isolation) standing(content [32]byte) suspects.Standing {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, _ := i.suspects.Standing(time.Now(), content)
	return s
}

// refusalTimeLeft returns how long a call is still refused for its content or a trait, or zero.
func (i *isolation) refusalTimeLeft(c *chatCall) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if _, timeLeft, refused := i.traits.Refused(now, c.traits); refused {
		return timeLeft
	}
	s, timeLeft := i.suspects.Standing(now, c.content)
	if s != suspects.Refused {
		return 0
	}
	return timeLeft
}

// admit returns how long a call that is about to run is still refused for a trait, or zero. After
// the refusal of a trait has ended, it lets one call with the trait pass at a time.
func (i *isolation) admit(c *chatCall) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, timeLeft, _ := i.traits.Admit(time.Now(), c.traits)
	return timeLeft
}

// maximumSuspectsPerServer bounds the suspected requests of this node that run on or wait
// for one server.
const maximumSuspectsPerServer = 64

// acquireReference returns the lock of a server for use until releaseReference, or nil if
// too many requests use it.
func (i *isolation) acquireReference(server domain.ServerID) *serverLock {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.locks == nil {
		i.locks = make(map[domain.ServerID]*serverLock)
	}
	lock := i.locks[server]
	if lock == nil {
		lock = &serverLock{held: make(chan struct{}, 1)}
		i.locks[server] = lock
	}
	if lock.references >= maximumSuspectsPerServer {
		return nil
	}
	lock.references++
	return lock
}

func (i *isolation) releaseReference(server domain.ServerID, lock *serverLock) {
	i.mu.Lock()
	defer i.mu.Unlock()
	lock.references--
	if lock.references == 0 {
		delete(i.locks, server)
	}
}

// newReport returns what another node reports, as of now: on the links of our own interface reports
// do not wait.
func newReport(s peer.Suspect) suspects.Report {
	return suspects.Report{Content: s.Content, Crashes: s.Crashes, Server: s.Server, Isolated: s.Isolated, AfterToken: s.AfterToken}
}

func newSuspect(r suspects.Report) peer.Suspect {
	return peer.Suspect{Content: r.Content, Crashes: r.Crashes, Server: r.Server, Isolated: r.Isolated, AfterToken: r.AfterToken}
}

// ApplySuspects applies crash reports and clearings of other nodes.
func (a *API) ApplySuspects(received []peer.Suspect) {
	reports := make([]suspects.Report, len(received))
	for i := range received {
		reports[i] = newReport(received[i])
	}
	a.isolation.mu.Lock()
	defer a.isolation.mu.Unlock()
	a.isolation.suspects.ApplyReports(time.Now(), reports)
}

// ApplyTraits applies what another node reports of traits, and tells the other nodes what
// contradicts it.
func (a *API) ApplyTraits(r suspects.TraitReport) {
	a.isolation.mu.Lock()
	_, answer, decisions := a.isolation.traits.Apply(time.Now(), r)
	a.isolation.mu.Unlock()
	a.reportTraits(answer, decisions)
}

// reportTraits tells the other nodes of traits, and logs what is decided of them.
func (a *API) reportTraits(r suspects.TraitReport, decisions []suspects.Decision) {
	for _, d := range decisions {
		message := "requests with this beginning are served again, because one has completed"
		if d.Refused {
			message = "requests with this beginning are refused, because servers crashed while such requests ran"
		}
		a.Logger.Info().Str("Event", "TraitDecided").Str("Trait", fmt.Sprintf("%x", d.Trait)).Bool("Refused", d.Refused).
			Strs("Servers", domain.Strings(d.Servers)).Msg(message)
	}
	if !r.IsEmpty() {
		a.BroadcastTraits(r)
	}
}

// recordCrash records that a server crashed during an attempt and reports it to the other
// nodes.
func (a *API) recordCrash(c *chatCall, t *attempt) {
	now := time.Now()
	a.isolation.mu.Lock()
	traitReport, decisions := a.isolation.traits.RecordCrash(now, t.server, c.traits)
	report := a.isolation.suspects.RecordCrash(now, c.content, t.server, t.isolated, t.hasOutput)
	a.isolation.mu.Unlock()
	a.reportTraits(traitReport, decisions)
	a.Scope.Counter("suspects").Inc(1)
	a.BroadcastSuspects([]peer.Suspect{newSuspect(report)})
}

// recordCompletion clears the content of a response that one attempt generated
// completely. A resumed attempt does not clear it, because it does not show that the
// earlier part is harmless.
func (s *session) recordCompletion() {
	a := s.api
	if s.current.resumed {
		return
	}
	a.isolation.mu.Lock()
	report, wasSuspected := a.isolation.suspects.RecordCompletion(time.Now(), s.call.content)
	traitReport, decisions := a.isolation.traits.RecordCompletion(time.Now(), s.call.traits)
	a.isolation.mu.Unlock()
	a.reportTraits(traitReport, decisions)
	if wasSuspected {
		a.BroadcastSuspects([]peer.Suspect{newSuspect(report)})
	}
}

// checkRefusal returns the request's final failure if its content or a trait is refused, else nil.
func (s *session) checkRefusal() error {
	timeLeft := s.api.isolation.refusalTimeLeft(s.call)
	if timeLeft > 0 && s.lastError != nil {
		// Another node may report that another suspected content ran in the same crash.
		// This content is then refused for a shorter time or not at all.
		if err := s.wait(suspectSyncDelay); err != nil {
			return err
		}
		timeLeft = s.api.isolation.refusalTimeLeft(s.call)
	}
	if timeLeft == 0 {
		return nil
	}
	return s.quarantined(timeLeft)
}

// quarantined returns the failure of a request that is refused for a time because it crashed
// servers.
func (s *session) quarantined(timeLeft time.Duration) error {
	err := s.newFailure(verdict.Quarantined, "this request crashed backend servers and is refused for now", s.lastError)
	return verdict.Of(err).WithRetryAfter(timeLeft)
}

// runIsolated runs one attempt of a suspected content while no other suspected request of
// this node runs on its server.
func (s *session) runIsolated(set routing.Set) error {
	if s.slot != nil {
		s.slot.release()
		s.slot = nil
	}
	if err := s.wait(suspectSyncDelay); err != nil {
		return err
	}
	if err := s.wait(suspects.DelayToNextSlot(time.Now(), s.call.content)); err != nil {
		return err
	}
	i, ok := s.api.chooser.ChooseByRendezvousHash(set, s.routingRequest(s.excluded))
	if !ok {
		s.excluded = nil
		return s.backOff()
	}
	replica := &set.Replicas[i]
	release, err := s.lockServer(replica.Server)
	if err == nil {
		err = s.checkRefusal()
	}
	if err == nil && s.retryUncharged {
		s.retryUncharged = false
		err = s.acquireRetry(broken, s.lastError)
	}
	if err != nil {
		if release != nil {
			release()
		}
		s.api.chooser.Done(replica.Server)
		return err
	}
	s.isolated, s.unlockServer = true, release
	if err := s.runAttempts(set, replica); err != nil || s.current == nil {
		s.endIsolation()
		return err
	}
	return nil
}

// lockServer waits until no other suspected request of this node runs on a server.
func (s *session) lockServer(server domain.ServerID) (release func(), err error) {
	isolation := &s.api.isolation
	lock := isolation.acquireReference(server)
	if lock == nil {
		err := s.newFailure(verdict.QueueFull, "too many suspected requests wait", s.lastError)
		return nil, verdict.Of(err).WithRetryAfter(suspectSyncDelay)
	}
	select {
	case lock.held <- struct{}{}:
		return func() { <-lock.held; isolation.releaseReference(server, lock) }, nil
	case <-s.ctx.Done():
		isolation.releaseReference(server, lock)
		return nil, s.contextFailure()
	}
}

// endIsolation unlocks the server for the next suspected request.
func (s *session) endIsolation() {
	s.isolated = false
	if s.unlockServer != nil {
		s.unlockServer()
		s.unlockServer = nil
	}
}
