package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// Deps are the dependencies of an API. A nil IsDraining means that the node is not
// draining, and a nil IsReady means that it is ready.
type Deps struct {
	Catalogue  Catalogue
	Placer     Placer
	Commands   CommandRunner
	Backends   Backends
	ChatClient engine.ChatClient
	Services   Forwarder
	Region     domain.Region
	Zone       domain.Zone
	Node       domain.NodeID
	Logger     zerolog.Logger
	Scope      tally.Scope
	// IsStopping reports whether the node has begun to stop; nil means that it has not.
	IsStopping func() bool
	// IsDraining reports whether the node refuses new requests.
	IsDraining func() bool
	// DrainEnd returns when the shutdown cancels the requests that still run. It is called only
	// while IsDraining returns true; nil means that the shutdown cancels none.
	DrainEnd func() time.Time
	// IsReady reports whether the node has a current configuration.
	IsReady func() bool
	// BroadcastSuspects sends reports on suspected contents to the other nodes; nil sends none.
	BroadcastSuspects func([]peer.Suspect)
	// BroadcastTraits sends the other nodes what this node has learned of traits of requests;
	// nil sends nothing.
	BroadcastTraits func(suspects.TraitReport)
	// ActiveNodes returns the number of active nodes, over which limits are divided; nil means
	// one.
	ActiveNodes func() int
	// Observer may be nil.
	Observer Observer
}

// API serves the requests of callers.
type API struct {
	Deps
	chooser  routing.Chooser
	attempts atomic.Uint64
	inFlight atomic.Int64
	health   health
	queues   admissionQueues
	// isolation holds the suspected contents and runs them one at a time on a server.
	isolation isolation
	limiter   limiter
	// audit logs refused keys, at most auditBurst a second.
	audit zerolog.Logger
}

// auditBurst bounds the log lines that callers without a valid key can cause.
const auditBurst = 10

// New returns an API that uses d.
func New(d Deps) *API {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.IsStopping == nil {
		d.IsStopping = func() bool { return false }
	}
	if d.IsDraining == nil {
		d.IsDraining = func() bool { return false }
	}
	if d.IsReady == nil {
		d.IsReady = func() bool { return true }
	}
	if d.BroadcastSuspects == nil {
		d.BroadcastSuspects = func([]peer.Suspect) {}
	}
	if d.BroadcastTraits == nil {
		d.BroadcastTraits = func(suspects.TraitReport) {}
	}
	if d.ActiveNodes == nil {
		d.ActiveNodes = func() int { return 1 }
	}
	a := &API{Deps: d, audit: d.Logger.Sample(&zerolog.BurstSampler{Burst: auditBurst, Period: time.Second})}
	a.isolation.suspects.IsExplained = a.isolation.traits.IsExplained
	return a
}

// InFlight returns the number of callers' requests whose responses are not complete.
func (a *API) InFlight() int { return int(a.inFlight.Load()) }

// Handler returns the HTTP handler for the callers' listener.
func (a *API) Handler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError)}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", kithttp.NewServer(a.chat, a.decodeChat, encodeChat, options...))
	mux.Handle("GET /v1/models", kithttp.NewServer(a.models, a.decodeModels, kithttp.EncodeJSONResponse, options...))
	services := kithttp.NewServer(a.callService, a.decodeServiceCall, encodeServiceResponse, options...)
	mux.Handle("/services/{name}", services)
	mux.Handle("/services/{name}/{path...}", services)
	mux.HandleFunc("/", a.unknownPath)
	return a.handleRequest(mux)
}

// handleRequest wraps the endpoints: it assigns the request ID, starts the trace, counts
// the request as in flight and refuses it if the node is draining, not ready or out of
// space for bodies.
func (a *API) handleRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		id := requestID(r.Header.Get(requestIDHeader))
		w = &stoppingWriter{ResponseWriter: w, isStopping: a.IsStopping}
		w.Header().Set(requestIDHeader, string(id))
		ctx, trace := a.startTrace(context.WithValue(r.Context(), requestIDKey{}, id), id)
		defer func() { trace.finish(r.Context()) }()
		if err := a.checkAvailable(); err != nil {
			discardBody(w, r)
			a.encodeError(ctx, err, w)
			return
		}
		size, err := bodySize(r)
		if err == nil && !a.queues.reserveBytes(size) {
			err = verdict.Refuse(verdict.QueueFull, "this node holds as many requests as it can").WithRetryAfter(retryOtherNodeDelay)
		}
		if err != nil {
			discardBody(w, r)
			a.encodeError(ctx, err, w)
			return
		}
		defer a.queues.releaseBytes(size)
		a.limitBodyRead(w, r)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// retryOtherNodeDelay is the Retry-After of a request that this node refused for its own
// state. It is short because the load balancer sends the retry to another node.
const retryOtherNodeDelay = time.Second

// checkAvailable returns an error if the node accepts no requests now.
func (a *API) checkAvailable() error {
	if a.IsDraining() {
		return errDraining()
	}
	if !a.IsReady() {
		return verdict.Refuse(verdict.NotReady, "this node has no current configuration yet").WithRetryAfter(retryOtherNodeDelay)
	}
	return nil
}

// checkTimeToFinish returns an error if a request whose body is complete now may be cancelled by
// the shutdown: the node refuses new requests, and their deadline is later than the end of the
// drain.
func (a *API) checkTimeToFinish(deadline domain.Deadline) error {
	if a.DrainEnd != nil && a.IsDraining() && deadline.At.After(a.DrainEnd()) {
		return errDraining()
	}
	return nil
}

// errDraining returns the refusal of a request that has not run because the node stops.
func errDraining() error {
	return verdict.Refuse(verdict.Draining, "this node is stopping; another one will answer").WithRetryAfter(retryOtherNodeDelay)
}

func (a *API) unknownPath(w http.ResponseWriter, r *http.Request) {
	err := verdict.Refuse(verdict.BadRequest, "no such path or method")
	a.encodeError(r.Context(), err, w)
}

// newAttemptID returns an attempt ID that is unique over all nodes.
func (a *API) newAttemptID() domain.AttemptID {
	return domain.AttemptID(string(a.Node) + "-" + strconv.FormatUint(a.attempts.Add(1), 10))
}
