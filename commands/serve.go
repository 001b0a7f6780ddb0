package commands

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/node"
	"github.com/parsleylug/parsleylug/operator"
	"github.com/parsleylug/parsleylug/settings"
	"github.com/parsleylug/parsleylug/tlsfiles"
)

// metricsInterval is the interval at which collected metrics are passed to the reporter.
const metricsInterval = time.Second

// ServeCommand runs one node whose shared state is in the platform's log. Without the URLs
// of a platform it also starts stand-ins for it in the same process.
type ServeCommand struct {
	settings.Settings `embed:""`
}

// Run runs the node until a termination signal, which starts a graceful shutdown; a second
// signal aborts it.
func (c *ServeCommand) Run(d *Deps) error {
	v, err := c.Parse()
	if err != nil {
		return &UsageError{Err: err}
	}
	logger := zerolog.New(d.ErrOut).Level(v.LogLevel).With().Timestamp().Logger()
	graceful, immediate, stopSignals := shutdownContexts()
	defer stopSignals()
	if v.Embedded {
		standins, err := c.startStandins(immediate)
		if err != nil {
			return err
		}
		defer standins.Close()
		v.LogURL, v.VMListURL, v.WeightStoreURL = standins.LogURL, standins.VMListURL, standins.WeightStoreURL
		logger.Info().Str("Event", "StandinsStarted").Str("ControlURL", standins.ControlURL).Strs("EngineURLs", standins.EngineURLs).
			Strs("ServiceURLs", standins.ServiceURLs).Msg("started stand-ins in this process, on loopback without TLS")
	}
	o, closeMetrics, err := nodeOptions(v, logger)
	if err != nil {
		return err
	}
	defer closeMetrics()
	o.Logger = logger.With().Str("Node", string(o.Node)).Logger()
	o.Logger.Info().Str("Event", "Serving").Str("CallerURL", "http://"+o.Caller.Addr().String()).
		Str("AdminURL", "http://"+o.Admin.Addr().String()).Str("PeerAddress", o.Peer.Addr().String()).
		Str("Region", string(v.Region)).Str("Zone", string(v.Zone)).Msg("node serves")
	if err := enableTLS(&o, v); err != nil {
		return err
	}
	n, err := node.New(o)
	if err != nil {
		return err
	}
	return n.Run(graceful, immediate)
}

// shutdownContexts returns a context that is cancelled at the first termination signal and
// one that is cancelled at the second.
func shutdownContexts() (graceful, immediate context.Context, stop func()) {
	graceful, cancelGraceful := context.WithCancel(context.Background())
	immediate, cancelImmediate := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancelGraceful()
		<-ch
		cancelImmediate()
	}()
	return graceful, immediate, func() {
		signal.Stop(ch)
		cancelGraceful()
		cancelImmediate()
	}
}

// nodeOptions opens the node's listeners, generates its id and creates its metrics scope,
// which closeMetrics closes.
func nodeOptions(v settings.Values, logger zerolog.Logger) (o node.Options, closeMetrics func(), err error) {
	o = node.Options{
		Version: operator.BuildVersion().Version,
		Region:  v.Region, Zone: v.Zone, LogURL: v.LogURL, VMListURL: v.VMListURL,
		KeepAlive: v.KeepAlive, DrainGrace: v.DrainGrace, DrainLimit: v.DrainLimit,
	}
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{{v.Listen.String(), &o.Caller}, {v.PeerListen.String(), &o.Peer}, {v.AdminListen.String(), &o.Admin}} {
		if *l.listener, err = listen(l.address); err != nil {
			return o, nil, &UsageError{Err: err}
		}
	}
	o.Node = domain.NodeID(fmt.Sprintf("%s@%d", o.Peer.Addr(), time.Now().UnixNano()))
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		OnRegisterError: func(err error) {
			logger.Warn().Err(err).Str("Event", "MetricNotRegistered").Msg("metric not registered")
		},
	})
	scope, scopeCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "parsleylug", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
	}, metricsInterval)
	o.Scope = scope
	o.Metrics = reporter.HTTPHandler()
	return o, func() { _ = scopeCloser.Close() }, nil
}

// enableTLS configures TLS for the caller and admin listeners and for the links between
// nodes, each only if its certificate is set.
func enableTLS(o *node.Options, v settings.Values) error {
	if !v.TLS.IsZero() {
		s, err := tlsfiles.New(v.TLS, o.Logger)
		if err != nil {
			return &UsageError{Err: errors.Wrap(err, "--tls-certificate")}
		}
		o.Caller = tls.NewListener(o.Caller, s.ServerConfig())
		o.Admin = tls.NewListener(o.Admin, s.ServerConfig())
		o.Background = append(o.Background, s.Run)
	}
	if !v.PeerTLS.IsZero() {
		s, err := tlsfiles.New(v.PeerTLS, o.Logger)
		if err != nil {
			return &UsageError{Err: errors.Wrap(err, "--peer-certificate")}
		}
		o.PeerTLS = s.PeerConfig()
		o.Background = append(o.Background, s.Run)
	}
	return nil
}

func listen(address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen on "+address)
}
