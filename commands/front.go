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
	// memoryLimitShare is the part of the VM's memory at which the collector works hard.
	memoryLimitShare = 0.7
	// registrationReadsPerDrain is how many reads of the registrations fit into the time in
	// which a leaving server must receive nothing more.
	registrationReadsPerDrain = 3
	// readHeaderTimeout and idleTime are wider than operators set them.
	readHeaderTimeout     = 10 * time.Second
	idleConnectionTimeout = 2 * time.Minute
	maximumHeaderBytes    = 64 << 10
	// memberTTLShare of the time between two holders' orders is the time-to-live of
	// a silent member.
	memberTTLShare = 0.83
	// leaseSettleTime is how long a new owner waits before its first order.
	leaseSettleTime = 600 * time.Millisecond
	// notReadyDelay is how long a stopping node still takes connections, so that the
	// platform has seen that it is not ready.
	notReadyDelay = 2500 * time.Millisecond
	// drainWaitTimeout is how long requests of a stopping node may still wait for a model.
	drainWaitTimeout = 3 * time.Second
	// exitMargin is the part of the grace time that is left for the exit.
	exitMargin = 500 * time.Millisecond
	// retryBudgetShare is the part of the shared budget for repeated sendings that the
	// nodes use.
	retryBudgetShare = 0.8
	// minimumBudgetNodes is the least number of nodes among which the budget is shared:
	// some may not be known.
	minimumBudgetNodes = 12
	// defaultNodeCount is taken until the owner has told how many there are.
	defaultNodeCount = 100
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
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitShare))
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return &UsageError{Err: err}
	}
	out := newLogWriter(d.Out, c.LinesPerSecond)
	defer out.close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	logger := zerolog.New(out).Level(level).With().Timestamp().Str("Node", s.Node).Logger()
	return newFrontNode(s, logger).run(path, net.JoinHostPort(s.IP, strconv.Itoa(c.MetricsPort)))
}

// frontNode is one running node.
type frontNode struct {
	settings platform.Settings
	logger   zerolog.Logger
	node     *entry.Node
	frontend *platform.Frontend
	metrics  *entry.Metrics
	// cancelRequests ends the requests that still run.
	cancelRequests context.CancelFunc
}

func newFrontNode(s platform.Settings, logger zerolog.Logger) *frontNode {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	name := fmt.Sprintf("%s/%x", address, time.Now().UnixNano())
	store := platform.NewStore(s.StoreAddress)
	backend := platform.NewBackend(name)
	f := &frontNode{settings: s, logger: logger, metrics: entry.NewMetrics()}
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
		RegistrationsInterval: s.DrainBound / registrationReadsPerDrain,
		TimeToLive:            max(s.MinimumMemberTTL, time.Duration(memberTTLShare*float64(s.LeaseBound))),
		SettleTime:            leaseSettleTime,
		FencesChecked:         s.FencesChecked,
		LoadWindow:            s.LoadWindow,
	})
	dispatcher := dispatch.New(dispatch.Options{
		Zone: s.Zone, Regions: s.Regions,
		Views: &f.node.Views, Demand: &f.node.Demand,
		Backend: backend, Logger: logger,
		SetBudget:           f.setRetryBudget,
		ReportCrash:         f.node.ReportCrash,
		ReportStaleHoldings: f.node.RefreshHoldings,
		Counters:            f.metrics,
	})
	f.node.OnCrashReports = dispatcher.ApplyCrashReports
	f.frontend = &platform.Frontend{Dispatcher: dispatcher, Views: &f.node.Views}
	return f
}

// setRetryBudget sets this node's share of what may be sent beyond first attempts.
func (f *frontNode) setRetryBudget(budget *retries.WindowBudget) {
	budget.Length = f.settings.RetryWindow
	budget.Ratio = f.settings.RetryRatio * retryBudgetShare
	nodes := f.node.NodeCount()
	if nodes == 0 {
		nodes = defaultNodeCount
	}
	budget.Reserve = retryBudgetShare * float64(f.settings.RetryReserve) / float64(max(nodes, minimumBudgetNodes))
}

// hubAddress returns the address that a node's name begins with.
func hubAddress(n domain.NodeID) string {
	address, _, _ := strings.Cut(string(n), "/")
	return address
}

// run serves until a termination signal and then leaves without cutting off a
// request.
func (f *frontNode) run(path, metricsAddress string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	requestsContext, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	f.cancelRequests = cancelRequests
	callerServer := f.frontend.HTTPServer(requestsContext, platform.ServerLimits{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout, HeaderBytes: maximumHeaderBytes})
	peerServer := &http.Server{Handler: &f.node.Hub, ReadHeaderTimeout: readHeaderTimeout}
	readinessServer := &http.Server{Handler: platform.ReadinessHandler(f.node.Ready), ReadHeaderTimeout: readHeaderTimeout}
	metricsServer := &http.Server{Handler: f.metrics.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{
		{callerServer, f.settings.CallerAddress},
		{readinessServer, f.settings.ReadyAddress},
		{peerServer, hubAddress(f.node.Name)},
		{metricsServer, metricsAddress},
	} {
		if err := f.startServer(ctx, l.server, l.address); err != nil {
			return err
		}
	}
	f.logger.Info().Str("Event", "Started").Str("CallerAddress", f.settings.CallerAddress).Str("Zone", string(f.settings.Zone)).
		Bool("FirstStart", f.settings.FirstStart).Msg("the node has started")
	done := make(chan error, 1)
	go func() { done <- f.node.Run(ctx) }()
	for sig := range signals {
		if sig == syscall.SIGHUP {
			f.reload(path)
			continue
		}
		break
	}
	f.shutDown(callerServer)
	cancel()
	return <-done
}

func (f *frontNode) startServer(ctx context.Context, s *http.Server, address string) error {
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
func (f *frontNode) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		f.logger.Error().Str("Event", "ReloadFailed").Err(err).Msg("the settings cannot be used; the old ones stay")
		return
	}
	changed := s.CallerAddress != f.settings.CallerAddress || s.StoreAddress != f.settings.StoreAddress
	f.logger.Info().Str("Event", "Reloaded").Bool("AddressesChanged", changed).Msg("the settings were read again")
}

// shutDown stops taking requests and waits for those that run.
func (f *frontNode) shutDown(callerServer *http.Server) {
	start := time.Now()
	f.logger.Info().Str("Event", "Stopping").Int("Running", f.frontend.Dispatcher.Running()).Msg("the node stops")
	f.node.Drain()
	f.frontend.Draining.Store(true)
	f.frontend.Dispatcher.Drain(start.Add(drainWaitTimeout))
	time.Sleep(notReadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(f.settings.GracePeriod-exitMargin))
	defer cancel()
	err := callerServer.Shutdown(ctx)
	if err != nil {
		// What still runs gets its final answer before the process ends.
		f.cancelRequests()
		time.Sleep(exitMargin / 2)
	}
	f.logger.Info().Str("Event", "Stopped").Int("Running", f.frontend.Dispatcher.Running()).AnErr("Cause", err).Msg("the node has stopped")
}
