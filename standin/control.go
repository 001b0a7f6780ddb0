package standin

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

func (g *Group) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Faults", g.serveFaults)
	mux.HandleFunc("GET /Observed", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, g.Observed())
	})
	return mux
}

func (g *Group) serveFaults(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	f, err := decodeFaults(data)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := g.Inject(f); err != nil {
		fail(w, http.StatusNotFound, err.Error())
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// Observed returns what the outside world saw until now.
func (g *Group) Observed() Observed {
	o := g.observer.snapshot()
	o.LogAppends = g.log.appends.Load()
	o.LogReads = g.log.reads.Load()
	g.weights.mu.Lock()
	defer g.weights.mu.Unlock()
	o.WeightStore = ObservedWeightStore{MostAtOnce: g.weights.most, Loads: g.weights.loads}
	return o
}

// Inject switches faults. Where a name is unknown nothing is changed.
func (g *Group) Inject(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	if err := g.checkNames(f); err != nil {
		return err
	}
	if f.Log != nil {
		g.log.inject(*f.Log)
		silence(g.logServer, f.Log.SilentConnections)
	}
	if f.WeightStore != nil {
		g.weights.inject(*f.WeightStore)
	}
	if f.VMList != nil {
		g.vms.inject(*f.VMList)
		silence(g.listServer, f.VMList.SilentConnections)
	}
	for _, e := range f.Engines {
		g.engine(e.Engine).inject(e)
	}
	for _, s := range f.Services {
		g.service(s.Service).inject(s)
	}
	for _, v := range f.VMs {
		g.injectVM(v)
	}
	return nil
}

func (g *Group) checkNames(f Faults) error {
	for _, e := range f.Engines {
		if g.engine(e.Engine) == nil {
			return errors.Errorf("no engine %.80q", e.Engine)
		}
	}
	for _, s := range f.Services {
		if g.service(s.Service) == nil {
			return errors.Errorf("no service %.80q", s.Service)
		}
	}
	for _, v := range f.VMs {
		if !g.vms.known(v.ID) {
			return errors.Errorf("no VM %.80q", v.ID)
		}
	}
	return nil
}

func (g *Group) engine(name string) *modelEngine {
	for _, e := range g.engines {
		if e.id == name || e.server.url() == name {
			return e
		}
	}
	return nil
}

func (g *Group) service(name string) *bookingService {
	for _, s := range g.services {
		if s.id == name || s.server.url() == name {
			return s
		}
	}
	return nil
}

func (g *Group) injectVM(f VMFaults) {
	if f.Leaving != nil {
		g.vms.setLeaving(f.ID, *f.Leaving, time.Now())
	}
	if !f.Reclaimed {
		return
	}
	g.vms.reclaim(f.ID, time.Now())
	if e := g.engine(f.ID); e != nil {
		e.reclaim()
	}
	if s := g.service(f.ID); s != nil {
		s.reclaim()
	}
}

func silence(s *server, wanted bool) {
	if wanted {
		s.silence()
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
	set(&l.faults.down, f.Down)
	set(&l.faults.loseAnswers, f.LoseAnswers)
	set(&l.retention, f.RetainRecords)
	if f.DelayMilliseconds != nil {
		l.faults.delay = duration(f.DelayMilliseconds)
	}
	if f.AppendsPerSecond != nil {
		l.setRate(*f.AppendsPerSecond)
	}
	for _, s := range l.streams {
		l.trim(s)
	}
	l.notify()
}

func (s *weightStore) inject(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.slowdown, f.Slowdown)
}

func (e *modelEngine) inject(f EngineFaults) {
	e.setFaults(func(now *engineFaults) {
		set(&now.poison, f.PoisonPrompt)
		set(&now.pace, f.Pace)
		set(&now.loseEvents, f.LoseCacheEvents)
		if f.ReportLagMilliseconds != nil {
			now.reportLag = duration(f.ReportLagMilliseconds)
		}
		if f.IgnoreOrdersMilliseconds != nil {
			now.ignoreOrders = duration(f.IgnoreOrdersMilliseconds)
		}
		if f.CacheEventLagMilliseconds != nil {
			now.eventLag = duration(f.CacheEventLagMilliseconds)
		}
	})
	if f.Paused != nil {
		e.pause.set(*f.Paused)
	}
	silence(e.server, f.SilentConnections)
	if f.Crash {
		e.crash()
	}
}

func (s *bookingService) inject(f ServiceFaults) {
	s.setFaults(func(now *serviceFaults) {
		set(&now.loseAnswers, f.LoseAnswers)
		if f.DelayMilliseconds != nil {
			now.delay = duration(f.DelayMilliseconds)
		}
	})
	if f.Paused != nil {
		s.pause.set(*f.Paused)
	}
	silence(s.server, f.SilentConnections)
	if f.Crash {
		s.crash()
	}
}

func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func duration(milliseconds *int) time.Duration {
	return time.Duration(*milliseconds) * time.Millisecond
}
