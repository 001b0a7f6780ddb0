package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/entry"
	"github.com/parsleylug/parsleylug/platform"
	"github.com/parsleylug/parsleylug/retries"
)

const (
	// memoryShare is the part of the VM's memory at which the collector works hard.
	memoryShare = 0.7
	// registrationReads is how many reads of the registrations fit into the time in
	// which a leaving server must receive nothing more.
	registrationReads = 3
	// headerTime and idleTime are wider than operators set them.
	headerTime  = 10 * time.Second
	idleTime    = 2 * time.Minute
	headerBytes = 64 << 10
	// membershipShare of the time between two holders' orders is the time-to-live of
	// a silent member.
	membershipShare = 0.83
	// settleTime is how long a new owner waits before its first order.
	settleTime = 600 * time.Millisecond
	// leaveNotice is how long a stopping node still takes connections, so that the
	// platform has seen that it is not ready.
	leaveNotice = 2500 * time.Millisecond
	// waitNotice is how long requests of a stopping node may still wait for a model.
	waitNotice = 3 * time.Second
	// leaveMargin is the part of the grace time that is left for the exit.
	leaveMargin = 500 * time.Millisecond
	// budgetShare is the part of the shared budget for repeated sendings that the
	// nodes use.
	budgetShare = 0.8
	// assumedNodes is the least number of nodes among which the budget is shared:
	// some may not be known.
	assumedNodes = 12
	// unknownNodes is taken until the owner has told how many there are.
	unknownNodes = 100
)

// FrontCommand runs one node on the users' platform.
type FrontCommand struct {
	LogLevel       string `default:"info" enum:"debug,info,warn,error" help:"Least severe lines to write."`
	MetricsPort    int    `default:"9464" help:"Port of the metrics, on the VM's address."`
	LinesPerSecond int    `default:"200" help:"Most log lines a second; what is left out is counted."`
}

// Run runs the node until a termination signal.
func (c *FrontCommand) Run(d *Deps) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return &UsageError{Err: errors.Errorf("%s is not set", platform.SettingsVariable)}
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return &UsageError{Err: err}
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return &UsageError{Err: err}
	}
	out := newLogWriter(d.Out, c.LinesPerSecond)
	defer out.close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	logger := zerolog.New(out).Level(level).With().Timestamp().Str("Node", s.Node).Logger()
	return newFront(s, logger).run(path, net.JoinHostPort(s.IP, strconv.Itoa(c.MetricsPort)))
}

// front is one running node.
type front struct {
	settings platform.Settings
	logger   zerolog.Logger
	node     *entry.Node
	http     *platform.Frontend
	metrics  *entry.Metrics
	// cutOff ends the requests that still run.
	cutOff context.CancelFunc
}

func newFront(s platform.Settings, logger zerolog.Logger) *front {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	name := fmt.Sprintf("%s/%x", address, time.Now().UnixNano())
	store := platform.NewStore(s.StoreAddress)
	backend := platform.NewBackend(name)
	f := &front{settings: s, logger: logger, metrics: entry.NewMetrics()}
	store.Counters = f.metrics
	f.node = entry.New(entry.Options{
		Name:                  domain.NodeID(name),
		Feed:                  &platform.Feed{Store: store, Logger: logger},
		Group:                 &platform.Group{Store: store, Member: name},
		Engines:               backend,
		Uptime:                platform.Uptime{},
		Dialer:                platform.Dialer(time.Second),
		HubAddress:            hubAddress,
		Logger:                logger,
		RegistrationsInterval: s.DrainBound / registrationReads,
		TimeToLive:            max(s.MinimumMemberTTL, time.Duration(membershipShare*float64(s.LeaseBound))),
		SettleTime:            settleTime,
		FencesChecked:         s.FencesChecked,
		LoadWindow:            s.LoadWindow,
	})
	dispatcher := dispatch.New(dispatch.Options{
		Zone: s.Zone, Regions: s.Regions,
		Views: &f.node.Views, Demand: &f.node.Demand,
		Backend: backend, Logger: logger,
		SetBudget:           f.budget,
		ReportCrash:         f.node.ReportCrash,
		ReportStaleHoldings: f.node.RefreshHoldings,
		Counters:            f.metrics,
	})
	f.node.OnCrashReports = dispatcher.ApplyCrashReports
	f.http = &platform.Frontend{Dispatcher: dispatcher, Views: &f.node.Views}
	return f
}

// budget sets this node's share of what may be sent beyond first attempts.
func (f *front) budget(w *retries.WindowBudget) {
	w.Length = f.settings.RetryWindow
	w.Ratio = f.settings.RetryRatio * budgetShare
	nodes := f.node.NodeCount()
	if nodes == 0 {
		nodes = unknownNodes
	}
	w.Reserve = budgetShare * float64(f.settings.RetryReserve) / float64(max(nodes, assumedNodes))
}

// hubAddress returns the address that a node's name begins with.
func hubAddress(n domain.NodeID) string {
	address, _, _ := strings.Cut(string(n), "/")
	return address
}

// run serves until a termination signal and then leaves without cutting off a
// request.
func (f *front) run(path, metricsAddress string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	requests, cutOff := context.WithCancel(context.Background())
	defer cutOff()
	f.cutOff = cutOff
	caller := f.http.HTTPServer(requests, platform.ServerLimits{ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, HeaderBytes: headerBytes})
	links := &http.Server{Handler: &f.node.Hub, ReadHeaderTimeout: headerTime}
	ready := &http.Server{Handler: platform.ReadinessHandler(f.node.Ready), ReadHeaderTimeout: headerTime}
	metrics := &http.Server{Handler: f.metrics.Handler(), ReadHeaderTimeout: headerTime}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{
		{caller, f.settings.CallerAddress},
		{ready, f.settings.ReadyAddress},
		{links, hubAddress(f.node.Name)},
		{metrics, metricsAddress},
	} {
		if err := f.listen(ctx, l.server, l.address); err != nil {
			return err
		}
	}
	f.logger.Info().Str("Event", "Started").Str("CallerAddress", f.settings.CallerAddress).Str("Zone", string(f.settings.Zone)).
		Bool("FirstStart", f.settings.FirstStart).Msg("the node has started")
	done := make(chan error, 1)
	go func() { done <- f.node.Run(ctx) }()
	for s := range signals {
		if s == syscall.SIGHUP {
			f.reload(path)
			continue
		}
		break
	}
	f.leave(caller)
	cancel()
	return <-done
}

func (f *front) listen(ctx context.Context, s *http.Server, address string) error {
	l, err := platform.Listen(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s.ErrorLog = nil
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			f.logger.Error().Str("Event", "ListenerFailed").Str("Address", address).Err(err).Msg("a listener has ended")
		}
	}()
	return nil
}

// reload reads the settings again. What was bound at the start stays as it is.
func (f *front) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		f.logger.Error().Str("Event", "ReloadFailed").Err(err).Msg("the settings cannot be used; the old ones stay")
		return
	}
	changed := s.CallerAddress != f.settings.CallerAddress || s.StoreAddress != f.settings.StoreAddress
	f.logger.Info().Str("Event", "Reloaded").Bool("AddressesChanged", changed).Msg("the settings were read again")
}

// leave stops taking requests and waits for those that run.
func (f *front) leave(caller *http.Server) {
	began := time.Now()
	f.logger.Info().Str("Event", "Stopping").Int("Running", f.http.Dispatcher.Running()).Msg("the node stops")
	f.node.Drain()
	f.http.Draining.Store(true)
	f.http.Dispatcher.Drain(began.Add(waitNotice))
	time.Sleep(leaveNotice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(f.settings.GracePeriod-leaveMargin))
	defer cancel()
	err := caller.Shutdown(ctx)
	if err != nil {
		// What still runs gets its final answer before the process ends.
		f.cutOff()
		time.Sleep(leaveMargin / 2)
	}
	f.logger.Info().Str("Event", "Stopped").Int("Running", f.http.Dispatcher.Running()).AnErr("Cause", err).Msg("the node has stopped")
}
