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
	peerListener      = "Peers"
)

// listen starts the servers for callers, the readiness probe, the other nodes and the metrics.
func (f *frontNode) listen(ctx context.Context, callerServer *platform.BoundedServer, metricsAddress string) error {
	readinessServer := f.newServer(readinessListener, platform.ReadinessHandler(f.node.IsReady), f.limits.monitors)
	metricsServer := f.newServer(metricsListener, f.metrics.Handler(), f.limits.monitors)
	for _, l := range []struct {
		server  *platform.BoundedServer
		address string
		listen  func(context.Context, string, platform.SocketBuffers) (net.Listener, error)
		buffers platform.SocketBuffers
		limits  platform.ServerLimits
	}{
		{callerServer, f.settings.CallerAddress, platform.ListenForCallers, f.limits.callerBuffers, f.limits.callers},
		{readinessServer, f.settings.ReadyAddress, platform.Listen, f.limits.nodeBuffers, f.limits.monitors},
		{f.peerServer(), hubAddress(f.node.Name), platform.Listen, f.limits.nodeBuffers, f.limits.peers},
		{metricsServer, metricsAddress, platform.Listen, f.limits.nodeBuffers, f.limits.monitors},
	} {
		l.buffers.Backlog = backlog(l.limits)
		listener, err := l.listen(ctx, l.address, l.buffers)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		l.server.ErrorLog = f.errorLog(listener)
		f.startServer(l.server.Serve, listener)
		go l.server.WatchUsage(ctx)
	}
	return nil
}

// peerServer returns the server for the other nodes. Until a node has sent a report, its link may be
// closed for a new one.
func (f *frontNode) peerServer() *platform.BoundedServer {
	f.node.Hub.OnFirstReport = platform.KeepConnection
	return f.newServer(peerListener, &f.node.Hub, f.limits.peers)
}

// newServer returns a server for a listener that is not the one for callers.
func (f *frontNode) newServer(listener string, h http.Handler, l platform.ServerLimits) *platform.BoundedServer {
	return platform.NewBoundedServer(listener, h, l, f.connectionReports(f.metrics.OfListener(listener)))
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
