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

// Deps are the dependencies of an API.
type Deps struct {
	System System
	Logger zerolog.Logger
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope
}

// API is the administration API of one node.
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

// Handler returns the handler of every path under /admin/.
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
	// name is the operation id in openapi.json and the endpoint tag in metrics.
	name    string
	summary string
	access  access
	// isChange is set for routes that write records. They accept the query parameters
	// dryRun and wait and the header If-Match.
	isChange bool
	// body and response are values of the wire types, from which the test generates
	// openapi.json. The request body is read only where body is not nil; recordBody and
	// fileBody stand for configuration records.
	body, response any
	endpoint       endpoint.Endpoint
	// encode writes the response; nil means encodeJSON.
	encode kithttp.EncodeResponseFunc
}

// authorizedRequest is a request whose sender is authorized to use the route.
type authorizedRequest struct {
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
		kithttp.ServerBefore(startAuditEntry),
		kithttp.ServerFinalizer(a.audit(r)),
	)
}

// decode returns the decoder of a route. It authorizes a request before it reads the
// body.
func (a *API) decode(r route) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, req *http.Request) (any, error) {
		who, err := a.authorize(r, req)
		auditEntryOf(ctx).who = who
		if err != nil {
			auditEntryOf(ctx).refusal = asError(err).Reason
			return nil, err
		}
		o, err := readOptions(req)
		if err != nil {
			return nil, err
		}
		c := authorizedRequest{who: who, path: req.PathValue, query: req.URL.Query().Get, ifMatch: req.Header.Get("If-Match"), options: o}
		if r.body != nil {
			c.body, err = io.ReadAll(http.MaxBytesReader(nil, req.Body, configuration.MaximumFileSize))
		}
		return c, errors.Wrap(err, "read body")
	}
}

func (a *API) authorize(r route, req *http.Request) (identity, error) {
	if r.access == accessPublic {
		return identity{}, nil
	}
	var who identity
	var err error
	a.deps.System.View(func(s *fold.State) { who, err = authenticate(s, req, time.Now()) })
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

// auditEntry holds what the log line and metrics of one request need besides the request.
type auditEntry struct {
	started time.Time
	who     identity
	// refusal is why authorization failed; the zero value Internal means that it did not.
	refusal Reason
}

type auditEntryKey struct{}

func startAuditEntry(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, auditEntryKey{}, &auditEntry{started: time.Now()})
}

func auditEntryOf(ctx context.Context) *auditEntry {
	if entry, ok := ctx.Value(auditEntryKey{}).(*auditEntry); ok {
		return entry
	}
	return &auditEntry{}
}

// maximumLoggedBytes bounds each text of a request in a log line.
const maximumLoggedBytes = 128

func truncateForLog(s string) string {
	if len(s) > maximumLoggedBytes {
		return s[:maximumLoggedBytes]
	}
	return s
}

// audit returns a finalizer that counts each request and logs changes and requests that
// failed. Metrics and log lines never hold the key or a body.
func (a *API) audit(r route) kithttp.ServerFinalizerFunc {
	return func(ctx context.Context, code int, req *http.Request) {
		entry := auditEntryOf(ctx)
		tags := map[string]string{"endpoint": r.name, "status": strconv.Itoa(code)}
		a.deps.Scope.Tagged(tags).Counter("admin_requests").Inc(1)
		if entry.refusal != Internal {
			a.deps.Scope.Tagged(map[string]string{"reason": entry.refusal.String()}).Counter("admin_refusals").Inc(1)
		}
		isWrite := req.Method != http.MethodGet
		refused := code >= http.StatusBadRequest
		if !isWrite && !refused {
			return
		}
		line := a.deps.Logger.Info().Str("Event", "AdminChange")
		if refused {
			line = a.deps.Logger.Warn().Str("Event", "AdminRefusal")
		}
		line.
			Str("Author", entry.who.author()).
			Str("Operation", r.name).
			Str("Path", truncateForLog(req.URL.Path)).
			Str("Request", truncateForLog(req.Header.Get("X-Request-Id"))).
			Bool("DryRun", req.URL.Query().Get("dryRun") != "").
			Int("Status", code).
			Int64("TookMilliseconds", time.Since(entry.started).Milliseconds()).
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
	return errors.Wrap(e.Encode(response), "write response")
}

func quoteVersion(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

// parseVersion parses the value of an If-Match header.
func parseVersion(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 63)
	if err != nil {
		return 0, refuse(BadRequest, "If-Match must be a version such as \"12\"")
	}
	return v, nil
}
