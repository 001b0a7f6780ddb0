package operator

import (
	"bytes"
	"context"
	_ "embed" // for the description
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
)

//go:embed openapi.json
var description []byte

// routes lists every method and path of the API.
func (a *API) routes() []route {
	routes := []route{
		{method: http.MethodGet, path: "/admin/v1/status", name: "status", summary: "Status of the whole system as this node sees it", access: accessRead, answer: WireStatus{}, endpoint: a.status},
		{method: http.MethodGet, path: "/admin/v1/version", name: "version", summary: "Version of this node", access: accessAny, answer: Version{}, endpoint: a.version},
		{method: http.MethodGet, path: "/admin/v1/openapi.json", name: "openapi", summary: "This description", access: accessAny, answer: json.RawMessage{}, endpoint: openapi},
		{method: http.MethodGet, path: "/admin/v1/configuration", name: "showConfiguration", summary: "Every configured object", access: accessRead, answer: Objects{}, endpoint: a.showConfiguration},
		{method: http.MethodPost, path: "/admin/v1/configuration", name: "applyConfiguration", summary: "Write the records of a configuration file", access: accessWrite, change: true, body: fileBody{}, answer: Change{}, endpoint: a.applyConfiguration},
		{method: http.MethodGet, path: "/admin/v1/history", name: "history", summary: "The newest operator records, who wrote them and what became of them", access: accessRead, answer: History{}, endpoint: a.history},
		{method: http.MethodGet, path: "/admin/v1/deployment", name: "getDeployment", summary: "What holds for the whole installation", access: accessRead, answer: Object{}, endpoint: a.getDeployment},
		{method: http.MethodPut, path: "/admin/v1/deployment", name: "putDeployment", summary: "Set what holds for the whole installation", access: accessWrite, change: true, body: recordBody{}, answer: Change{},
			endpoint: a.putRecord("Deployment", func(r configuration.Record) bool { return r.Deployment != nil })},
		{method: http.MethodGet, path: "/admin/v1/why/{request}", name: "why", summary: "What the nodes decided for one request", access: accessOwn, answer: Why{}, endpoint: a.why},
		{method: http.MethodGet, path: "/admin/v1/burn", name: "burn", summary: "The service-level burn report", access: accessOwn, answer: objective.WireReport{}, endpoint: a.burn},
		{method: http.MethodGet, path: "/admin/burn", name: "burnPage", summary: "The service-level burn report as a page", access: accessOwn, endpoint: a.burnPage, encode: encodePage},
	}
	routes = append(routes, a.keyRoutes()...)
	routes = append(routes, a.protectionRoutes()...)
	for _, c := range collections() {
		routes = append(routes, a.collectionRoutes(c)...)
	}
	return routes
}

func (a *API) keyRoutes() []route {
	return []route{
		{method: http.MethodGet, path: "/admin/v1/keys", name: "listKeys", summary: "The access keys of every team, without their hashes", access: accessRead, answer: AccessKeys{}, endpoint: a.listKeys},
		{method: http.MethodPut, path: "/admin/v1/teams/{name}/keys/{key}", name: "putKey", summary: "Set an access key of a team", access: accessWrite, change: true, body: NewKey{}, answer: Change{}, endpoint: a.putKey},
		{method: http.MethodDelete, path: "/admin/v1/teams/{name}/keys/{key}", name: "deleteKey", summary: "End an access key of a team", access: accessWrite, change: true, answer: Change{}, endpoint: a.deleteKey},
	}
}

// protectionRoutes take something out of use.
func (a *API) protectionRoutes() []route {
	routes := []route{
		{method: http.MethodGet, path: "/admin/v1/drains", name: "listDrains", summary: "What is drained", access: accessRead, answer: Objects{}, endpoint: a.listDrains},
		{method: http.MethodGet, path: "/admin/v1/quarantine", name: "listQuarantine", summary: "The request contents that are refused", access: accessRead, answer: Objects{}, endpoint: a.listQuarantine},
		{method: http.MethodPut, path: "/admin/v1/quarantine/{content}", name: "putQuarantine", summary: "Refuse requests with this content", access: accessWrite, change: true, answer: Change{}, endpoint: a.quarantine(false)},
		{method: http.MethodDelete, path: "/admin/v1/quarantine/{content}", name: "deleteQuarantine", summary: "Release a request content", access: accessWrite, change: true, answer: Change{}, endpoint: a.quarantine(true)},
	}
	for _, what := range []string{"server", "node", "zone"} {
		path := "/admin/v1/drains/" + what + "s/{name}"
		routes = append(routes,
			route{method: http.MethodPut, path: path, name: what + "DrainOn", summary: "Take a " + what + " out of use", access: accessWrite, change: true, answer: Change{}, endpoint: a.drain(what, false)},
			route{method: http.MethodDelete, path: path, name: what + "DrainOff", summary: "Take a " + what + " back into use", access: accessWrite, change: true, answer: Change{}, endpoint: a.drain(what, true)},
		)
	}
	return routes
}

func (a *API) collectionRoutes(c collection) []route {
	list, word := "/admin/v1/"+c.word, c.kind.WireName()
	one := list + "/{name}"
	return []route{
		{method: http.MethodGet, path: list, name: "list" + word + "s", summary: "Every " + word, access: accessRead, answer: Objects{}, endpoint: a.listObjects(c)},
		{method: http.MethodGet, path: one, name: "get" + word, summary: "One " + word + " with its version", access: accessRead, answer: Object{}, endpoint: a.getObject(c)},
		{method: http.MethodPut, path: one, name: "put" + word, summary: "Set one " + word, access: accessWrite, change: true, body: recordBody{}, answer: Change{}, endpoint: a.putObject(c)},
		{method: http.MethodDelete, path: one, name: "delete" + word, summary: "Remove one " + word, access: accessWrite, change: true, answer: Change{}, endpoint: a.deleteObject(c)},
	}
}

func openapi(context.Context, any) (any, error) { return json.RawMessage(description), nil }

func (a *API) listDrains(context.Context, any) (any, error) {
	return a.objects(func(s *fold.State) []configuration.Record {
		return slices.DeleteFunc(allRecords(s), func(r configuration.Record) bool { return r.Drain == nil })
	})
}

func (a *API) listQuarantine(context.Context, any) (any, error) {
	return a.objects(func(s *fold.State) []configuration.Record {
		return slices.DeleteFunc(allRecords(s), func(r configuration.Record) bool { return r.Quarantine == nil })
	})
}

// drain serves the start and the end of a drain.
func (a *API) drain(what string, off bool) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(call)
		d := configuration.Drain{Off: off}
		switch what {
		case "server":
			d.Server = domain.ServerID(in.path("name"))
		case "node":
			d.Node = domain.NodeID(in.path("name"))
		default:
			d.Zone = domain.Zone(in.path("name"))
		}
		return a.change(ctx, in.who, []configuration.Record{{Drain: &d}}, in.options)
	}
}

// quarantine serves the block and the release of a content.
func (a *API) quarantine(release bool) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(call)
		raw, err := hex.DecodeString(in.path("content"))
		q := configuration.Quarantine{Release: release}
		if err != nil || copy(q.Content[:], raw) != len(q.Content) || len(raw) != len(q.Content) {
			return nil, refuse(BadRequest, "the content must be a SHA-256 in 64 hexadecimal digits")
		}
		return a.change(ctx, in.who, []configuration.Record{{Quarantine: &q}}, in.options)
	}
}

// newStrictDecoder refuses unknown fields.
func newStrictDecoder(raw []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d
}

func nodeVersions(applied map[domain.NodeID]domain.Offset) []NodeVersion {
	var out []NodeVersion
	for _, n := range slices.Sorted(maps.Keys(applied)) {
		out = append(out, NodeVersion{Node: string(n), Configuration: uint64(applied[n])})
	}
	return out
}
