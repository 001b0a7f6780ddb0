package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/fold"
)

// Deps are what the administration API works with.
type Deps struct {
	System System
	Logger zerolog.Logger
	// Scope may be nil, which counts nothing.
	Scope tally.Scope
}

// API serves operators.
type API struct {
	deps Deps
}

// New returns an API.
func New(d Deps) *API {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &API{deps: d}
}

// Handler serves every path under /admin/.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range a.routes() {
		mux.Handle(r.method+" "+r.path, a.server(r))
	}
	return mux
}

// route is one method and path of the API.
type route struct {
	method, path string
	// name is the operation id, which also names the endpoint in metrics.
	name    string
	summary string
	access  access
	// change routes take the query parameters dryRun and wait and the header
	// If-Match.
	change bool
	// body and answer are examples of the wire types, for the description. A nil
	// body means that none is read; recordBody and fileBody stand for records.
	body, answer any
	endpoint     endpoint.Endpoint
	// encode is nil for JSON.
	encode kithttp.EncodeResponseFunc
}

// call is a request that may use its route.
type call struct {
	who     identity
	path    func(name string) string
	query   func(name string) string
	ifMatch string
	options options
	body    []byte
}

func (a *API) server(r route) http.Handler {
	encode := r.encode
	if encode == nil {
		encode = encodeJSON
	}
	return kithttp.NewServer(
		r.endpoint,
		a.decode(r),
		encode,
		kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerBefore(startTrace),
		kithttp.ServerFinalizer(a.finish(r)),
	)
}

// decode authorizes a request before it reads the body.
func (a *API) decode(r route) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, req *http.Request) (any, error) {
		who, err := a.authorize(r, req)
		traceOf(ctx).who = who
		if err != nil {
			traceOf(ctx).refusal = asError(err).Reason
			return nil, err
		}
		o, err := readOptions(req)
		if err != nil {
			return nil, err
		}
		c := call{who: who, path: req.PathValue, query: req.URL.Query().Get, ifMatch: req.Header.Get("If-Match"), options: o}
		if r.body != nil {
			c.body, err = io.ReadAll(http.MaxBytesReader(nil, req.Body, configuration.MaximumFileSize))
		}
		return c, errors.Wrap(err, "read body")
	}
}

func (a *API) authorize(r route, req *http.Request) (identity, error) {
	if r.access == accessAny {
		return identity{}, nil
	}
	var who identity
	var err error
	a.deps.System.View(func(s *fold.State) { who, err = identify(s, req, time.Now()) })
	if err != nil {
		return who, err
	}
	if !r.access.allows(who.role) {
		return who, refuse(Forbidden, "the key "+who.author()+" has the role "+who.role.String()+", which may not do this")
	}
	return who, nil
}

func readOptions(req *http.Request) (options, error) {
	var o options
	for name, target := range map[string]*bool{"dryRun": &o.dryRun, "wait": &o.wait} {
		text := req.URL.Query().Get(name)
		if text == "" {
			continue
		}
		v, err := strconv.ParseBool(text)
		if err != nil {
			return o, refuse(BadRequest, "the query parameter "+name+" must be true or false")
		}
		*target = v
	}
	return o, nil
}

// trace follows one request to its audit line.
type trace struct {
	started time.Time
	who     identity
	refusal Reason
}

type traceKey struct{}

func startTrace(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, traceKey{}, &trace{started: time.Now()})
}

func traceOf(ctx context.Context) *trace {
	if t, ok := ctx.Value(traceKey{}).(*trace); ok {
		return t
	}
	return &trace{}
}

// maximumLogged is the longest text from a request in a log line, in bytes.
const maximumLogged = 128

func logged(s string) string {
	if len(s) > maximumLogged {
		return s[:maximumLogged]
	}
	return s
}

// finish counts a request and writes the audit line of every change and refusal.
// Neither holds the key or a body.
func (a *API) finish(r route) kithttp.ServerFinalizerFunc {
	return func(ctx context.Context, code int, req *http.Request) {
		t := traceOf(ctx)
		tags := map[string]string{"endpoint": r.name, "status": strconv.Itoa(code)}
		a.deps.Scope.Tagged(tags).Counter("admin_requests").Inc(1)
		if t.refusal != Internal {
			a.deps.Scope.Tagged(map[string]string{"reason": t.refusal.String()}).Counter("admin_refusals").Inc(1)
		}
		changes := req.Method != http.MethodGet
		refused := code >= http.StatusBadRequest
		if !changes && !refused {
			return
		}
		line := a.deps.Logger.Info().Str("Event", "AdminChange")
		if refused {
			line = a.deps.Logger.Warn().Str("Event", "AdminRefusal")
		}
		line.
			Str("Author", t.who.author()).
			Str("Operation", r.name).
			Str("Path", logged(req.URL.Path)).
			Str("Request", logged(req.Header.Get("X-Request-Id"))).
			Bool("DryRun", req.URL.Query().Get("dryRun") != "").
			Int("Status", code).
			Int64("TookMilliseconds", time.Since(t.started).Milliseconds()).
			Msg("operator request")
	}
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	if o, ok := response.(Object); ok {
		w.Header().Set("ETag", quoteVersion(o.Version))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(response), "write answer")
}

func quoteVersion(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

// parseVersion reads an If-Match header.
func parseVersion(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 63)
	if err != nil {
		return 0, refuse(BadRequest, "If-Match must be a version such as \"12\"")
	}
	return v, nil
}
