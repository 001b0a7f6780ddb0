package commands

import (
	"context"
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
)

// metricsInterval is how often gathered metrics are handed on.
const metricsInterval = time.Second

// ServeCommand runs one node.
type ServeCommand struct {
	LogURL         string        `help:"URL of the platform's log; empty starts stand-ins in this process."`
	WeightStoreURL string        `help:"URL of the weight store; engines load from it, nodes only pace the loads."`
	VMListURL      string        `help:"URL of the platform's list of VMs."`
	Listen         string        `help:"IP:PORT for callers." default:"127.0.0.1:8080"`
	PeerListen     string        `help:"IP:PORT for other nodes." default:"127.0.0.1:0"`
	AdminListen    string        `help:"IP:PORT for operators." default:"127.0.0.1:8081"`
	Region         string        `help:"Region of this VM." default:"brisbane"`
	Zone           string        `help:"Availability zone of this VM." default:"brisbane-a"`
	Config         string        `help:"Operator configuration for the stand-ins in this process." type:"existingfile"`
	KeepAlive      time.Duration `help:"How long an idle replica stays loaded." default:"5m"`
	DrainGrace     time.Duration `help:"How long a stopping node still takes requests, so that the balancer sees it first." default:"2s"`
	DrainLimit     time.Duration `help:"How long a stop waits for running requests." default:"5m"`
	LogLevel       string        `help:"Lowest level logged." enum:"debug,info,warn,error" default:"info"`
}

// Run runs the node until a termination signal; a second one ends it at once.
func (c *ServeCommand) Run(d *Deps) error {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return &UsageError{Err: err}
	}
	logger := zerolog.New(d.ErrOut).Level(level).With().Timestamp().Logger()
	if (c.LogURL == "") != (c.VMListURL == "") {
		return &UsageError{Err: errors.New("--log-url and --vm-list-url go together")}
	}
	soft, hard, release := signals()
	defer release()
	if c.LogURL == "" {
		group, err := c.startStandins(hard)
		if err != nil {
			return err
		}
		defer group.Close()
		c.LogURL, c.VMListURL, c.WeightStoreURL = group.LogURL, group.VMListURL, group.WeightStoreURL
		logger.Info().Str("Event", "StandinsStarted").Str("ControlURL", group.ControlURL).Strs("EngineURLs", group.EngineURLs).
			Strs("ServiceURLs", group.ServiceURLs).Msg("stand-ins run in this process, on loopback, without TLS")
	}
	o, closer, err := c.options(logger)
	if err != nil {
		return err
	}
	defer closer()
	o.Logger = logger.With().Str("Node", string(o.Node)).Logger()
	o.Logger.Info().Str("Event", "Serving").Str("CallerURL", "http://"+o.Caller.Addr().String()).
		Str("AdminURL", "http://"+o.Admin.Addr().String()).Str("PeerAddress", o.Peer.Addr().String()).
		Str("Region", c.Region).Str("Zone", c.Zone).Msg("node serves")
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
func (c *ServeCommand) options(logger zerolog.Logger) (o node.Options, closer func(), err error) {
	o = node.Options{
		Region: domain.Region(c.Region), Zone: domain.Zone(c.Zone), LogURL: c.LogURL, VMListURL: c.VMListURL,
		KeepAlive: c.KeepAlive, DrainGrace: c.DrainGrace, DrainLimit: c.DrainLimit,
	}
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{c.Listen, &o.Caller}, {c.PeerListen, &o.Peer}, {c.AdminListen, &o.Admin}} {
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

func listen(address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen on "+address)
}
