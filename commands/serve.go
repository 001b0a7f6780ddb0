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

// metricsInterval is how often gathered metrics are handed on.
const metricsInterval = time.Second

// ServeCommand runs one node.
type ServeCommand struct {
	settings.Settings `embed:""`
}

// Run runs the node until a termination signal; a second one ends it at once.
func (c *ServeCommand) Run(d *Deps) error {
	v, err := c.Values()
	if err != nil {
		return &UsageError{Err: err}
	}
	logger := zerolog.New(d.ErrOut).Level(v.LogLevel).With().Timestamp().Logger()
	soft, hard, release := signals()
	defer release()
	if v.Embedded {
		group, err := c.startStandins(hard)
		if err != nil {
			return err
		}
		defer group.Close()
		v.LogURL, v.VMListURL, v.WeightStoreURL = group.LogURL, group.VMListURL, group.WeightStoreURL
		logger.Info().Str("Event", "StandinsStarted").Str("ControlURL", group.ControlURL).Strs("EngineURLs", group.EngineURLs).
			Strs("ServiceURLs", group.ServiceURLs).Msg("stand-ins run in this process, on loopback, without TLS")
	}
	o, closer, err := options(v, logger)
	if err != nil {
		return err
	}
	defer closer()
	o.Logger = logger.With().Str("Node", string(o.Node)).Logger()
	o.Logger.Info().Str("Event", "Serving").Str("CallerURL", "http://"+o.Caller.Addr().String()).
		Str("AdminURL", "http://"+o.Admin.Addr().String()).Str("PeerAddress", o.Peer.Addr().String()).
		Str("Region", string(v.Region)).Str("Zone", string(v.Zone)).Msg("node serves")
	if err := secure(&o, v); err != nil {
		return err
	}
	n, err := node.New(o)
	if err != nil {
		return err
	}
	return n.Run(soft, hard)
}

// signals returns a context that ends at the first termination signal and one
// that ends at the second.
func signals() (soft, hard context.Context, release func()) {
	soft, endSoft := context.WithCancel(context.Background())
	hard, endHard := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		endSoft()
		<-ch
		endHard()
	}()
	return soft, hard, func() {
		signal.Stop(ch)
		endSoft()
		endHard()
	}
}

// options opens the listeners and the metrics.
func options(v settings.Values, logger zerolog.Logger) (o node.Options, closer func(), err error) {
	o = node.Options{
		Version: operator.BuildVersion().Version,
		Region:  v.Region, Zone: v.Zone, LogURL: v.LogURL, VMListURL: v.VMListURL,
		KeepAlive: v.KeepAlive, DrainGrace: v.DrainGrace, DrainLimit: v.DrainLimit,
	}
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{v.Listen.String(), &o.Caller}, {v.PeerListen.String(), &o.Peer}, {v.AdminListen.String(), &o.Admin}} {
		if *l.to, err = listen(l.address); err != nil {
			return o, nil, &UsageError{Err: err}
		}
	}
	o.Node = domain.NodeID(fmt.Sprintf("%s@%d", o.Peer.Addr(), time.Now().UnixNano()))
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		OnRegisterError: func(err error) {
			logger.Warn().Err(err).Str("Event", "MetricNotRegistered").Msg("a metric is missing")
		},
	})
	scope, scopeCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "parsleylug", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
	}, metricsInterval)
	o.Scope = scope
	o.Metrics = reporter.HTTPHandler()
	return o, func() { _ = scopeCloser.Close() }, nil
}

// secure puts TLS on the listeners and the links between nodes.
func secure(o *node.Options, v settings.Values) error {
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
