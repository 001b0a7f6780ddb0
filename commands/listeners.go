package commands

import (
	"context"
	"log"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/platform"
)

// The names of the listeners beside that for callers, in logs and metrics.
const (
	readinessListener = "Readiness"
	metricsListener   = "Metrics"
)

// listen starts the servers for callers, the readiness probe, the other nodes and the metrics.
func (f *frontNode) listen(ctx context.Context, callerServer *platform.BoundedServer, metricsAddress string) error {
	peerServer := &http.Server{Handler: &f.node.Hub, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maximumHeaderBytes}
	readinessServer := f.monitorServer(readinessListener, platform.ReadinessHandler(f.node.IsReady))
	metricsServer := f.monitorServer(metricsListener, f.metrics.Handler())
	for _, s := range []*platform.BoundedServer{callerServer, readinessServer, metricsServer} {
		go s.WatchUsage(ctx)
	}
	for _, l := range []struct {
		server  *http.Server
		serve   func(net.Listener) error
		address string
		listen  func(context.Context, string, platform.SocketBuffers) (net.Listener, error)
	}{
		{callerServer.Server, callerServer.Serve, f.settings.CallerAddress, platform.ListenForCallers},
		{readinessServer.Server, readinessServer.Serve, f.settings.ReadyAddress, platform.Listen},
		{peerServer, peerServer.Serve, hubAddress(f.node.Name), platform.Listen},
		{metricsServer.Server, metricsServer.Serve, metricsAddress, platform.Listen},
	} {
		listener, err := l.listen(ctx, l.address, f.socketBuffers)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		l.server.ErrorLog = f.errorLog(listener)
		f.startServer(l.serve, listener)
	}
	return nil
}

// monitorServer returns a server for what watches this node.
func (f *frontNode) monitorServer(listener string, h http.Handler) *platform.BoundedServer {
	return platform.NewBoundedServer(listener, h, f.monitorLimits, f.connectionReports(f.metrics.OfListener(listener)))
}

// connectionReports returns where a server reports what its limits do.
func (f *frontNode) connectionReports(c platform.ConnectionCounters) platform.ConnectionReports {
	return platform.ConnectionReports{Logger: f.logger, Counters: c, Gauges: f.metrics}
}

// errorLog returns the logger for the errors of the HTTP server of a listener.
func (f *frontNode) errorLog(l net.Listener) *log.Logger {
	return log.New(f.logger.With().Str("Event", "HTTPServerError").Str("Address", l.Addr().String()).Logger(), "", 0)
}

// startServer serves the connections of a listener.
func (f *frontNode) startServer(serve func(net.Listener) error, l net.Listener) {
	go func() {
		if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			f.logger.Error().Str("Event", "ListenerFailed").Str("Address", l.Addr().String()).Err(err).Msg("listener failed")
		}
	}()
}
