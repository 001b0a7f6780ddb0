package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
)

// Group is a running set of stand-ins. ControlURL serves POST /Faults and GET /Observed.
type Group struct {
	LogURL         string
	WeightStoreURL string
	VMListURL      string
	EngineURLs     []string
	ServiceURLs    []string
	ControlURL     string

	options     Options
	observer    *observer
	log         *platformLog
	weightStore *weightStore
	vmList      *vmList
	engines     []*modelEngine
	services    []*bookingService
	servers     []*server
	// logServer and vmListServer are also in servers.
	logServer, vmListServer *server
	closeOnce               sync.Once
}

// bookingServiceName is the name of the booking services on the VM list.
const bookingServiceName = "booking"

// Start starts the stand-ins. They run until ctx ends or Close is called.
func Start(ctx context.Context, o Options) (*Group, error) {
	o = o.withDefaults()
	observer := newObserver()
	g := &Group{
		options:     o,
		observer:    observer,
		log:         newPlatformLog(o, observer),
		weightStore: newWeightStore(o),
		vmList:      newVMList(o),
	}
	if err := g.start(); err != nil {
		g.Close()
		return nil, err
	}
	context.AfterFunc(ctx, g.Close)
	return g, nil
}

func (g *Group) start() error {
	if err := g.startPlatform(); err != nil {
		return err
	}
	if err := g.startEngines(); err != nil {
		return err
	}
	if err := g.startServices(); err != nil {
		return err
	}
	g.vmList.seed(g.initialVMs())
	return nil
}

func (g *Group) startPlatform() error {
	var store, control *server
	for _, start := range []struct {
		server  **server
		url     *string
		handler http.Handler
	}{
		{&g.logServer, &g.LogURL, g.log.handler()},
		{&store, &g.WeightStoreURL, g.weightStore.handler()},
		{&g.vmListServer, &g.VMListURL, g.vmList.handler()},
		{&control, &g.ControlURL, g.controlHandler()},
	} {
		s, err := g.serve(start.handler)
		if err != nil {
			return err
		}
		*start.server = s
		*start.url = s.url()
	}
	return nil
}

func (g *Group) serve(h http.Handler) (*server, error) {
	s, err := newServer(g.options.ListenIP, h)
	if err != nil {
		return nil, err
	}
	g.servers = append(g.servers, s)
	return s, nil
}

func (g *Group) startEngines() error {
	o := g.options
	adapters := &adapterLoader{seed: o.Seed}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range o.Engines {
		region, _ := o.location(i)
		id := "engine-" + strconv.Itoa(i+1)
		e := &modelEngine{
			options:       o,
			id:            id,
			region:        region,
			checksFences:  o.ChecksFences[i%len(o.ChecksFences)],
			observer:      g.observer,
			adapterLoader: adapters,
			random:        newRandomSource(o.Seed, id),
			storeURL:      g.WeightStoreURL,
			client:        client,
			diskCache:     checkpointCache{capacity: diskCacheModels},
		}
		e.startIncarnation()
		if err := g.startEngine(e); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts the server of an engine. Requests that arrive before all fields of
// the engine are set wait for them.
func (g *Group) startEngine(e *modelEngine) error {
	ready := make(chan struct{})
	handler := e.handler()
	s, err := g.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-ready
		handler.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	e.server = s
	e.observed = g.observer.addEngine(s.url(), int64(g.options.EngineMemory))
	g.engines = append(g.engines, e)
	g.EngineURLs = append(g.EngineURLs, s.url())
	close(ready)
	return nil
}

func (g *Group) startServices() error {
	o := g.options
	shared := &ledger{}
	for i := range o.Services {
		region, _ := o.location(i)
		id := "service-" + strconv.Itoa(i+1)
		b := &bookingService{
			id:          id,
			region:      region,
			restartTime: o.RestartTime,
			ledger:      shared,
			observer:    g.observer,
			random:      newRandomSource(o.Seed, id),
		}
		b.startIncarnation()
		s, err := g.serve(b.handler())
		if err != nil {
			return err
		}
		b.server = s
		g.services = append(g.services, b)
		g.ServiceURLs = append(g.ServiceURLs, s.url())
	}
	return nil
}

// initialVMs returns the VM list entries of the engines and services.
func (g *Group) initialVMs() []wireVM {
	var vms []wireVM
	for i, e := range g.engines {
		v := g.newWireVM(e.id, "Engine", e.server, i)
		v.MemoryBytes = int64(g.options.EngineMemory)
		v.ChecksFences = e.checksFences
		vms = append(vms, v)
	}
	for i, s := range g.services {
		v := g.newWireVM(s.id, "Service", s.server, i)
		v.ServiceName = bookingServiceName
		vms = append(vms, v)
	}
	return vms
}

func (g *Group) newWireVM(id, kind string, s *server, i int) wireVM {
	region, zone := g.options.location(i)
	return wireVM{ID: id, Kind: kind, Address: s.address, Region: string(region), Zone: string(zone)}
}

// Close stops all servers. Further calls do nothing.
func (g *Group) Close() {
	g.closeOnce.Do(func() {
		for _, e := range g.engines {
			e.reclaim()
		}
		for _, s := range g.services {
			s.reclaim()
		}
		for _, s := range g.servers {
			s.close()
		}
	})
}
