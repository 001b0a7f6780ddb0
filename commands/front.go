package commands

import (
	"context"
	"fmt"
	"log"
	"net"
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

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/entry"
	"github.com/parsleylug/parsleylug/platform"
	"github.com/parsleylug/parsleylug/quota"
	"github.com/parsleylug/parsleylug/retries"
)

const (
	// memoryLimitShare is the fraction of the VM's memory that becomes the soft memory
	// limit of the Go runtime.
	memoryLimitShare = 0.7
	// messageMemoryShare is the fraction of the VM's memory that each kind of message may take
	// that is held whole: requests, responses, and events with the reports of servers.
	messageMemoryShare = 0.06
	// reportMemoryShare is the same for the reports of other nodes, without the first
	// freeReportSize of each.
	reportMemoryShare = 0.03
	freeReportSize    = 16 * domain.Kibibyte
	// registrationReadsPerDrain is the number of reads of the registrations within the
	// drain bound, the time after which a draining backend server must receive no more
	// requests.
	registrationReadsPerDrain = 3
	// memberTTLShare is the time-to-live of a group member that does not renew, as a
	// fraction of the lease bound, the minimum time between the orders of two lease
	// holders. Where the servers do not check fencing tokens, it is unfencedTTLShare: an owner that is
	// lost gives no orders for that time, and a new one has to wait beyond it.
	memberTTLShare   = 0.83
	unfencedTTLShare = 0.5
	// firstOrderDelay is the delay between the grant of the owner's lease and the first
	// order where the servers check fencing tokens.
	firstOrderDelay = 600 * time.Millisecond
	// ownerProcessors and ownerLinkBytesPerSecond are what a VM needs to own the model engines of
	// a large deployment: the updates to a thousand nodes, and the orders and queries of the
	// engines. A VM with less is a standby.
	ownerProcessors         = 0.3
	ownerLinkBytesPerSecond = 12_000_000
	// updateLinkShare is the fraction of the VM's link that the owner's updates to the other
	// nodes may take. Renewals of the lease, orders and callers have the rest.
	updateLinkShare = 0.4
	// standbySuffix ends the name of a node that is a standby.
	standbySuffix = "/standby"
	// handOverMargin is the part of the grace period that is reserved for leaving the group of
	// possible owners, after the responses to the last orders.
	handOverMargin = 2 * time.Second
	// notReadyDelay is how long a node that shuts down still accepts connections and lets
	// requests wait, so that the platform's readiness probe finds it not ready first.
	notReadyDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit.
	exitMargin = 500 * time.Millisecond
	// finalResponseTime is the part of exitMargin in which cancelled requests may send their
	// final response.
	finalResponseTime = 250 * time.Millisecond
	// logMargin is the last part of exitMargin, which is reserved for the log.
	logMargin = 200 * time.Millisecond
	// retryBudgetShare is the fraction of the shared retry budget that the nodes use.
	retryBudgetShare = 0.8
	// minimumBudgetNodes is the minimum number of nodes that the retry budget's reserve is
	// divided by, since this node may not know all of them.
	minimumBudgetNodes = 12
	// defaultNodeCount is used while the number of nodes is unknown.
	defaultNodeCount = 100
)

// FrontCommand runs one node on the users' platform, where the shared state is in the
// platform's store. Its settings are in a file that the platform names in an environment
// variable.
type FrontCommand struct {
	LogLevel       string `default:"info" enum:"debug,info,warn,error" help:"Least severe lines to write."`
	MetricsPort    int    `default:"9464" help:"Port of the metrics, on the VM's address."`
	LinesPerSecond int    `default:"200" help:"Most log lines a second; what is left out is counted."`
	ListenerFlags
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
	redirectStandardLog(logger)
	node := newFrontNode(s, logger)
	node.limits = c.listenerLimits(s, openFilesLimit())
	return node.run(path, net.JoinHostPort(s.IP, strconv.Itoa(c.MetricsPort)))
}

// redirectStandardLog makes the lines of the standard logger events of the node. The HTTP client
// writes there what a server sends on an idle connection.
func redirectStandardLog(l zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(l.With().Str("Event", "LibraryMessage").Logger())
}

// frontNode is one node with its listeners and metrics.
type frontNode struct {
	settings platform.Settings
	logger   zerolog.Logger
	node     *entry.Node
	frontend *platform.Frontend
	metrics  *entry.Metrics
	limits   listenerLimits
	// cancelRequests cancels the callers' requests in flight.
	cancelRequests context.CancelCauseFunc
}

func newFrontNode(s platform.Settings, logger zerolog.Logger) *frontNode {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	name := fmt.Sprintf("%s/%x", address, time.Now().UnixNano())
	standby := isStandby(s)
	if standby {
		name += standbySuffix
	}
	orderDelay, leaseBound := ownerDelays(s)
	store := platform.NewStore(s.StoreAddress)
	backend := platform.NewBackend(name)
	messageMemory := domain.Bytes(float64(s.Memory) * messageMemoryShare)
	backend.Memory.Size = messageMemory
	f := &frontNode{settings: s, logger: logger, metrics: entry.NewMetrics()}
	store.Counters = f.metrics
	f.node = entry.New(entry.Options{
		Name:                  domain.NodeID(name),
		Feed:                  &platform.Feed{Store: store, Logger: logger, IgnoresWorkspaces: s.IgnoresWorkspaces},
		Group:                 &platform.Group{Store: store, Member: name},
		Engines:               backend,
		TraitLog:              &platform.TraitLog{Store: store},
		ContentLog:            &platform.ContentLog{Store: store},
		Uptime:                platform.Uptime{},
		Dialer:                platform.Dialer(time.Second),
		HubAddress:            hubAddress,
		Logger:                logger,
		Counters:              f.metrics,
		RegistrationsInterval: s.DrainBound / registrationReadsPerDrain,
		DrainBound:            s.DrainBound,
		TimeToLive:            memberTTL(s),
		FirstOrderDelay:       orderDelay,
		LeaseBound:            leaseBound,
		HandOverDelay:         max(0, s.GracePeriod-handOverMargin),
		ServersCheckFences:    s.ServersCheckFences,
		Standby:               standby,
		IsStandby:             isStandbyName,
		UpdateBytesPerSecond:  int(updateLinkShare * float64(s.LinkBytesPerSecond)),
		LoadWindow:            s.LoadWindow,
		ConfigurationBound:    s.ConfigurationBound,
		RevokeBound:           s.RevokeBound,
		QuotaTerms:            quota.Terms{Window: s.QuotaWindow, Tolerance: s.QuotaTolerance, Slack: s.QuotaSlack},
	})
	store.OnEra = f.node.RecordStoreEra
	dispatcher := dispatch.New(dispatch.Options{
		Zone: s.Zone, Regions: s.Regions,
		Views: &f.node.Views, Demand: &f.node.Demand, Notices: &f.node.Notices,
		Backend: backend, Logger: logger,
		Quota:                  f.node.Quota(),
		SetBudget:              f.setRetryBudget,
		ReportCrash:            f.node.ReportCrash,
		ReportTraits:           f.node.ReportTraits,
		ReportStaleEngineState: f.node.RefreshEngineState,
		ResponseMemory:         messageMemory,
		RoomCounters:           f.metrics,
		Counters:               f.metrics,
		CacheCounters:          f.metrics,
	})
	backend.Views = &f.node.Views
	backend.OnNotice = f.node.RecordNotice
	f.node.OnCrashReports = dispatcher.ApplyCrashReports
	f.node.Hub.Reports = buffers.Pool{Size: domain.Bytes(float64(s.Memory) * reportMemoryShare), Free: freeReportSize}
	f.node.Traits, f.node.Contents = dispatcher, dispatcher
	f.node.Loads = dispatcher
	f.frontend = &platform.Frontend{
		Dispatcher: dispatcher, Views: &f.node.Views, IsBehind: f.node.IsConfigurationBehind, Keys: f.node, LinkDelay: f.node.LinkDelay,
		Logger: logger, Counters: f.metrics,
		Reports: f.connectionReports(f.metrics),
	}
	f.frontend.Bodies.Size = messageMemory
	return f
}

// setRetryBudget sets this node's share of the retry budget that all nodes share.
func (f *frontNode) setRetryBudget(budget *retries.WindowBudget) {
	budget.Length = f.settings.RetryWindow
	budget.Ratio = f.settings.RetryRatio * retryBudgetShare
	nodes := f.node.NodeCount()
	if nodes == 0 {
		nodes = defaultNodeCount
	}
	budget.Reserve = retryBudgetShare * float64(f.settings.RetryReserve) / float64(max(nodes, minimumBudgetNodes))
}

// memberTTL returns the time-to-live of a group member that does not renew.
func memberTTL(s platform.Settings) time.Duration {
	share := memberTTLShare
	if !s.ServersCheckFences {
		share = unfencedTTLShare
	}
	return max(s.MinimumMemberTTL, time.Duration(share*float64(s.LeaseBound)))
}

// ownerDelays returns the delay before the first order of a new owner, and the least time between
// the orders of two owners if the servers do not keep them apart by their fencing tokens.
func ownerDelays(s platform.Settings) (firstOrder, leaseBound time.Duration) {
	if s.ServersCheckFences {
		return firstOrderDelay, 0
	}
	return platform.OrderTimeout, s.LeaseBound
}

// isStandby reports whether the VM has too little to own the model engines of a large deployment.
func isStandby(s platform.Settings) bool {
	return s.Processors < ownerProcessors || s.LinkBytesPerSecond < ownerLinkBytesPerSecond
}

// isStandbyName reports whether a node's name is that of a standby.
func isStandbyName(n domain.NodeID) bool { return strings.HasSuffix(string(n), standbySuffix) }

// hubAddress returns the address of a node's hub, which is the part of its name before the
// first slash.
func hubAddress(n domain.NodeID) string {
	address, _, _ := strings.Cut(string(n), "/")
	return address
}

// run serves until a termination signal and then shuts down gracefully. At SIGHUP it checks
// the settings file again.
func (f *frontNode) run(path, metricsAddress string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloads, terminations := notifySignals()
	requestsContext, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	// The responses to cancelled requests do not need the loops, which have more time to end so.
	f.cancelRequests = func(cause error) {
		cancelRequests(cause)
		cancel()
	}
	callerServer := f.frontend.HTTPServer(requestsContext, f.limits.callers)
	if err := f.listen(ctx, callerServer, metricsAddress); err != nil {
		return err
	}
	f.logger.Info().Str("Event", "Started").Str("CallerAddress", f.settings.CallerAddress).Str("Zone", string(f.settings.Zone)).
		Int("CallerConnections", f.limits.callers.Connections).Int("PeerConnections", f.limits.peers.Connections).Bool("FirstStart", f.settings.FirstStart).Msg("node started")
	done := make(chan error, 1)
	go func() { done <- f.node.Run(ctx) }()
	f.awaitTermination(path, reloads, terminations)
	return f.stop(callerServer, cancel, done)
}

// stop shuts the node down and ends its loops, whose end done delivers.
func (f *frontNode) stop(callerServer *platform.BoundedServer, cancelLoops context.CancelFunc, done <-chan error) error {
	endsAt := time.Now().Add(f.settings.GracePeriod - logMargin)
	f.shutDown(callerServer)
	cancelLoops()
	return f.awaitEnd(done, endsAt)
}

// awaitEnd waits for the end of the node's loops, until the given time at most. A node that the
// store does not let leave the owner group by then leaves it when its time-to-live has passed.
func (f *frontNode) awaitEnd(done <-chan error, until time.Time) error {
	select {
	case err := <-done:
		return err
	case <-time.After(time.Until(until)):
		f.logger.Warn().Str("Event", "EndNotAwaited").Msg("the grace period is over before the calls to the store have ended")
		return nil
	}
}

// notifySignals returns the channels of the signals that reload the settings and of those that
// stop the node. With one channel, reloads could fill it, and the runtime would drop the signal
// that stops the node.
func notifySignals() (reloads, terminations chan os.Signal) {
	reloads, terminations = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	return reloads, terminations
}

// awaitTermination reloads the settings at each signal that asks for it and returns at the first
// that stops the node.
func (f *frontNode) awaitTermination(path string, reloads, terminations <-chan os.Signal) {
	for {
		select {
		case <-terminations:
			return
		case <-reloads:
			f.reload(path)
		}
	}
}

// reload checks the settings file again and logs whether an address changed. The running
// node keeps the settings that it started with.
func (f *frontNode) reload(path string) {
	f.frontend.Dispatcher.RecordReload(time.Now())
	s, err := platform.LoadSettings(path)
	if err != nil {
		f.logger.Error().Str("Event", "ReloadFailed").Err(err).Msg("new settings are invalid; keeping the current ones")
		return
	}
	changed := s.CallerAddress != f.settings.CallerAddress || s.StoreAddress != f.settings.StoreAddress
	f.logger.Info().Str("Event", "Reloaded").Bool("AddressesChanged", changed).Msg("settings file read again")
}

// shutDown drains the node: it reports not ready, stops accepting connections and waits for
// the requests that arrive or run until the grace period is nearly over. Then it cancels the rest.
func (f *frontNode) shutDown(callerServer *platform.BoundedServer) {
	start := time.Now()
	f.logger.Info().Str("Event", "Stopping").Int("Running", f.frontend.Dispatcher.Running()).Msg("the node stops")
	f.node.Drain()
	f.frontend.Draining.Store(true)
	shutdown := dispatch.Shutdown{BegunAt: start, WaitUntil: start.Add(notReadyDelay), EndsAt: start.Add(f.settings.GracePeriod - exitMargin)}
	f.frontend.Dispatcher.Drain(shutdown)
	time.Sleep(notReadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), shutdown.EndsAt)
	defer cancel()
	err := callerServer.Drain(ctx)
	if err != nil {
		f.cancelRequests(dispatch.ErrShutdown)
		awaitFinalResponses(callerServer)
	}
	f.logger.Info().Str("Event", "Stopped").Int("Running", f.frontend.Dispatcher.Running()).AnErr("Cause", err).Msg("node stopped")
}

// awaitFinalResponses waits until the cancelled requests have sent their final response, for
// finalResponseTime at most, and closes the connections that are left.
func awaitFinalResponses(callerServer *platform.BoundedServer) {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	if callerServer.AwaitConnections(ctx) != nil {
		_ = callerServer.Close()
	}
}
