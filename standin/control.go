package standin

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

func (g *Group) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Faults", g.serveFaults)
	mux.HandleFunc("GET /Observed", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.Observed())
	})
	return mux
}

func (g *Group) serveFaults(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	f, err := decodeFaults(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := g.Inject(f); err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// Observed returns what the stand-ins have seen so far.
func (g *Group) Observed() Observed {
	o := g.observer.snapshot()
	o.LogAppends = g.log.appends.Load()
	o.LogReads = g.log.reads.Load()
	g.weightStore.mu.Lock()
	defer g.weightStore.mu.Unlock()
	o.WeightStore = ObservedWeightStore{MostAtOnce: g.weightStore.peakActive, Loads: g.weightStore.transferCount}
	return o
}

// Inject applies faults. If a value is out of range or a target is unknown, it applies
// none.
func (g *Group) Inject(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	if err := g.checkTargets(f); err != nil {
		return err
	}
	if f.Log != nil {
		g.log.inject(*f.Log)
		blackholeIf(g.logServer, f.Log.SilentConnections)
	}
	if f.WeightStore != nil {
		g.weightStore.inject(*f.WeightStore)
	}
	if f.VMList != nil {
		g.vmList.inject(*f.VMList)
		blackholeIf(g.vmListServer, f.VMList.SilentConnections)
	}
	for _, e := range f.Engines {
		g.findEngine(e.Engine).inject(e)
	}
	for _, s := range f.Services {
		g.findService(s.Service).inject(s)
	}
	for _, v := range f.VMs {
		g.injectVM(v)
	}
	return nil
}

func (g *Group) checkTargets(f Faults) error {
	for _, e := range f.Engines {
		if g.findEngine(e.Engine) == nil {
			return errors.Errorf("no engine %.80q", e.Engine)
		}
	}
	for _, s := range f.Services {
		if g.findService(s.Service) == nil {
			return errors.Errorf("no service %.80q", s.Service)
		}
	}
	for _, v := range f.VMs {
		if !g.vmList.isListed(v.ID) {
			return errors.Errorf("no VM %.80q", v.ID)
		}
	}
	return nil
}

// findEngine looks an engine up by VM ID or URL; it returns nil if there is none.
func (g *Group) findEngine(name string) *modelEngine {
	for _, e := range g.engines {
		if e.id == name || e.server.url() == name {
			return e
		}
	}
	return nil
}

// findService looks a service up by VM ID or URL; it returns nil if there is none.
func (g *Group) findService(name string) *bookingService {
	for _, s := range g.services {
		if s.id == name || s.server.url() == name {
			return s
		}
	}
	return nil
}

func (g *Group) injectVM(f VMFaults) {
	if f.Leaving != nil {
		g.vmList.setLeaving(f.ID, *f.Leaving, time.Now())
	}
	if !f.Reclaimed {
		return
	}
	g.vmList.reclaim(f.ID, time.Now())
	if e := g.findEngine(f.ID); e != nil {
		e.reclaim()
	}
	if s := g.findService(f.ID); s != nil {
		s.reclaim()
	}
}

func blackholeIf(s *server, enabled bool) {
	if enabled {
		s.blackholeConnections()
	}
}

func (l *vmList) inject(f VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.LagMilliseconds != nil {
		l.lag = duration(f.LagMilliseconds)
	}
}

func (l *platformLog) inject(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	setIfPresent(&l.faults.down, f.Down)
	setIfPresent(&l.faults.lostResponseShare, f.LoseAnswers)
	setIfPresent(&l.retention, f.RetainRecords)
	if f.DelayMilliseconds != nil {
		l.faults.delay = duration(f.DelayMilliseconds)
	}
	if f.AppendsPerSecond != nil {
		l.setRate(*f.AppendsPerSecond)
	}
	for _, s := range l.streams {
		l.applyRetention(s)
	}
	l.notifyReaders()
}

func (s *weightStore) inject(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.slowdown, f.Slowdown)
}

func (e *modelEngine) inject(f EngineFaults) {
	e.setFaults(func(faults *engineFaults) {
		setIfPresent(&faults.poisonPrompt, f.PoisonPrompt)
		setIfPresent(&faults.tokenRateFactor, f.Pace)
		setIfPresent(&faults.cacheEventLossShare, f.LoseCacheEvents)
		if f.ReportLagMilliseconds != nil {
			faults.reportLag = duration(f.ReportLagMilliseconds)
		}
		if f.IgnoreOrdersMilliseconds != nil {
			faults.orderDelay = duration(f.IgnoreOrdersMilliseconds)
		}
		if f.CacheEventLagMilliseconds != nil {
			faults.cacheEventLag = duration(f.CacheEventLagMilliseconds)
		}
	})
	if f.Paused != nil {
		e.pause.setPaused(*f.Paused)
	}
	blackholeIf(e.server, f.SilentConnections)
	if f.Crash {
		e.crash()
	}
}

func (s *bookingService) inject(f ServiceFaults) {
	s.setFaults(func(faults *serviceFaults) {
		setIfPresent(&faults.lostResponseShare, f.LoseAnswers)
		if f.DelayMilliseconds != nil {
			faults.delay = duration(f.DelayMilliseconds)
		}
	})
	if f.Paused != nil {
		s.pause.setPaused(*f.Paused)
	}
	blackholeIf(s.server, f.SilentConnections)
	if f.Crash {
		s.crash()
	}
}

// setIfPresent leaves the field unchanged if the value is absent from the request.
func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func duration(milliseconds *int) time.Duration {
	return time.Duration(*milliseconds) * time.Millisecond
}
