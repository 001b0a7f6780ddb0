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
	"github.com/parsleylug/parsleylug/verdict"
)

// Deps is what an API needs of the node round it. Draining and Ready may be
// nil, which means false and true.
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
	// IsDraining tells whether the node takes no new requests.
	IsDraining func() bool
	// IsReady tells whether the node can show a current configuration.
	IsReady func() bool
	// BroadcastSuspects tells the other nodes of suspected contents; nil keeps them here.
	BroadcastSuspects func([]peer.Suspect)
	// ActiveNodes returns how many nodes are alive, for limits; nil means one.
	ActiveNodes func() int
	// Observer may be nil.
	Observer Observer
}

// API serves callers.
type API struct {
	Deps
	chooser  routing.Chooser
	attempts atomic.Uint64
	inFlight atomic.Int64
	health   health
	gates    gates
	// isolation keeps suspected contents apart.
	isolation isolation
	shares    shares
	// audit logs refused keys, at most auditBurst a second.
	audit zerolog.Logger
}

// auditBurst bounds what callers without a key can write to the log.
const auditBurst = 10

// New returns an API over d.
func New(d Deps) *API {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
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
	if d.ActiveNodes == nil {
		d.ActiveNodes = func() int { return 1 }
	}
	return &API{Deps: d, audit: d.Logger.Sample(&zerolog.BurstSampler{Burst: auditBurst, Period: time.Second})}
}

// InFlight returns how many callers' requests are not yet answered whole.
func (a *API) InFlight() int { return int(a.inFlight.Load()) }

// Handler returns the handler of the callers' listener.
func (a *API) Handler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError)}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", kithttp.NewServer(a.chat, a.decodeChat, encodeChat, options...))
	mux.Handle("GET /v1/models", kithttp.NewServer(a.models, a.decodeModels, kithttp.EncodeJSONResponse, options...))
	services := kithttp.NewServer(a.forward, a.decodeForward, encodeForward, options...)
	mux.Handle("/services/{name}", services)
	mux.Handle("/services/{name}/{path...}", services)
	mux.HandleFunc("/", a.unknownPath)
	return a.withRequest(mux)
}

// withRequest gives a request its id, counts it and turns it away where the
// node takes no new requests.
func (a *API) withRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		id := requestID(r.Header.Get(requestIDHeader))
		w.Header().Set(requestIDHeader, string(id))
		ctx, trace := a.observe(context.WithValue(r.Context(), requestKey{}, id), id)
		defer func() { trace.end(r.Context()) }()
		if err := a.unavailable(); err != nil {
			a.encodeError(ctx, err, w)
			return
		}
		size, err := bodySize(r)
		if err == nil && !a.gates.hold(size) {
			err = verdict.Refuse(verdict.QueueFull, "this node holds as many requests as it can").WithRetryAfter(retryElsewhere)
		}
		if err != nil {
			a.encodeError(ctx, err, w)
			return
		}
		defer a.gates.release(size)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// retryElsewhere is how soon a caller that was turned away by a stopping node
// may come back: the balancer sends it to another one.
const retryElsewhere = time.Second

func (a *API) unavailable() error {
	if a.IsDraining() {
		return verdict.Refuse(verdict.Draining, "this node is stopping; another one will answer").WithRetryAfter(retryElsewhere)
	}
	if !a.IsReady() {
		return verdict.Refuse(verdict.NotReady, "this node has no current configuration yet").WithRetryAfter(retryElsewhere)
	}
	return nil
}

func (a *API) unknownPath(w http.ResponseWriter, r *http.Request) {
	err := verdict.Refuse(verdict.BadRequest, "no such path or method")
	a.encodeError(r.Context(), err, w)
}

// nextAttempt names an attempt; the name is unique over all nodes.
func (a *API) nextAttempt() domain.AttemptID {
	return domain.AttemptID(string(a.Node) + "-" + strconv.FormatUint(a.attempts.Add(1), 10))
}
