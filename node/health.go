package node

import (
	"io"
	"net/http"
	"time"

	"github.com/parsleylug/parsleylug/operator"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// withHealth adds /healthz and /readyz, which the balancer polls, to a handler.
func (n *Node) withHealth(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "alive\n")
	})
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("/", next)
	return mux
}

// readyz responds 503 with the reason while the node is not ready, so that the balancer
// sends it no callers.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if n.IsReady() {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "not ready: "+n.notReadyReason()+"\n")
}

// adminHandler returns a handler for the administration API, the metrics and the health
// checks.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	if n.options.Metrics != nil {
		mux.Handle("GET /metrics", n.options.Metrics)
	}
	api := operator.New(operator.Deps{System: &System{node: n}, Logger: n.options.Logger, Scope: n.options.Scope})
	mux.Handle("/", api.Handler())
	return n.withHealth(mux)
}
