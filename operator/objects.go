package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// Object is one configured object with the version that a change may expect.
type Object struct {
	Version uint64
	// Record is the record that would set the object as it is, in the newest
	// schema version.
	Record json.RawMessage
}

// Objects is a list of objects.
type Objects struct {
	// Configuration is the newest operator record in force at the node.
	Configuration uint64
	Objects       []Object
}

// recordBody and fileBody are example values that stand for a configuration
// record and a configuration file in a route's body.
type (
	recordBody struct{}
	fileBody   struct{}
)

// collection is one kind of named object in the paths of the API.
type collection struct {
	// word is the path's word, for example "models".
	word string
	kind configuration.Kind
	// list returns a record for each object.
	list func(*fold.State) []configuration.Record
}

func collections() []collection {
	return []collection{
		{"models", configuration.KindModel, listModels},
		{"adapters", configuration.KindAdapter, listAdapters},
		{"services", configuration.KindService, listServices},
		{"teams", configuration.KindTeam, listTeams},
	}
}

func listModels(s *fold.State) []configuration.Record {
	var out []configuration.Record
	for _, m := range s.Models() {
		out = append(out, configuration.Record{Model: &m})
	}
	return out
}

func listAdapters(s *fold.State) []configuration.Record {
	var out []configuration.Record
	for _, v := range s.Adapters() {
		out = append(out, configuration.Record{Adapter: &v})
	}
	return out
}

func listServices(s *fold.State) []configuration.Record {
	var out []configuration.Record
	for _, v := range s.Services() {
		out = append(out, configuration.Record{Service: &v})
	}
	return out
}

func listTeams(s *fold.State) []configuration.Record {
	var out []configuration.Record
	for _, t := range s.Teams() {
		out = append(out, configuration.Record{Team: &t})
	}
	return out
}

// allRecords returns the records that would make the configuration in force.
func allRecords(s *fold.State) []configuration.Record {
	deployment := s.Deployment()
	records := []configuration.Record{{Deployment: &deployment}}
	for _, c := range collections() {
		records = append(records, c.list(s)...)
	}
	for _, d := range s.Drains() {
		records = append(records, configuration.Record{Drain: &d})
	}
	for _, content := range s.QuarantinedContents() {
		records = append(records, configuration.Record{Quarantine: &configuration.Quarantine{Content: content}})
	}
	return records
}

// nameOf returns the name that paths give to a named object.
func nameOf(r configuration.Record) string {
	_, name, _ := strings.Cut(r.Subject(), " ")
	return name
}

func objectOf(s *fold.State, r configuration.Record) (Object, error) {
	raw, err := configuration.Encode(r)
	if err != nil {
		return Object{}, errors.Wrap(err, r.Subject())
	}
	return Object{Version: uint64(s.VersionOf(r)), Record: raw}, nil
}

// objects lists records as objects.
func (a *API) objects(list func(*fold.State) []configuration.Record) (Objects, error) {
	out := Objects{Objects: []Object{}}
	var failure error
	a.deps.System.View(func(s *fold.State) {
		out.Configuration = uint64(s.ConfigurationOffset())
		for _, r := range list(s) {
			o, err := objectOf(s, r)
			if err != nil {
				failure = err
				return
			}
			out.Objects = append(out.Objects, o)
		}
	})
	return out, failure
}

// listObjects serves GET of a collection.
func (a *API) listObjects(c collection) func(context.Context, any) (any, error) {
	return func(_ context.Context, _ any) (any, error) {
		return a.objects(c.list)
	}
}

// getObject serves GET of one named object.
func (a *API) getObject(c collection) func(context.Context, any) (any, error) {
	return func(_ context.Context, request any) (any, error) {
		return a.object(c, request.(call).path("name"))
	}
}

func (a *API) object(c collection, name string) (Object, error) {
	objects, err := a.objects(func(s *fold.State) []configuration.Record {
		records := c.list(s)
		return slices.DeleteFunc(records, func(r configuration.Record) bool { return nameOf(r) != name })
	})
	if err != nil {
		return Object{}, err
	}
	if len(objects.Objects) == 0 {
		return Object{}, refuse(UnknownObject, c.kind.WireName()+" "+printable(name)+" is not configured")
	}
	return objects.Objects[0], nil
}

// putObject serves PUT of one named object.
func (a *API) putObject(c collection) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(call)
		r, err := decodeRecord(in)
		if err != nil {
			return nil, err
		}
		want := c.kind.WireName() + " " + in.path("name")
		if r.Remove != nil || r.Subject() != want {
			return nil, refuse(BadRequest, "the record must set "+printable(want)+", as the path says")
		}
		return a.change(ctx, in.who, []configuration.Record{r}, in.options)
	}
}

// deleteObject serves DELETE of one named object.
func (a *API) deleteObject(c collection) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(call)
		if _, err := a.object(c, in.path("name")); err != nil {
			return nil, err
		}
		r := configuration.Record{Remove: &configuration.Remove{Kind: c.kind, Name: in.path("name")}}
		if err := expect(&r, in); err != nil {
			return nil, err
		}
		return a.change(ctx, in.who, []configuration.Record{r}, in.options)
	}
}

// decodeRecord reads the body as one record.
func decodeRecord(in call) (configuration.Record, error) {
	r, err := configuration.Decode(in.body)
	var faults configuration.Faults
	if errors.As(err, &faults) {
		return r, faultsError(faults)
	}
	return r, expect(&r, in)
}

func faultsError(faults []configuration.Fault) *Error {
	e := refuse(BadRequest, "the configuration has faults; nothing was changed")
	e.Faults = faults
	return e
}

// expect takes the precondition from If-Match.
func expect(r *configuration.Record, in call) error {
	if in.ifMatch == "" {
		return nil
	}
	v, err := parseVersion(in.ifMatch)
	if err != nil {
		return err
	}
	offset := domain.Offset(v)
	r.Expect = &offset
	return nil
}

// showConfiguration serves the whole configuration.
func (a *API) showConfiguration(context.Context, any) (any, error) {
	return a.objects(allRecords)
}

// applyConfiguration serves a configuration file.
func (a *API) applyConfiguration(ctx context.Context, request any) (any, error) {
	in := request.(call)
	records, faults := configuration.DecodeFile("", bytes.NewReader(in.body))
	if len(faults) > 0 {
		return nil, faultsError(faults)
	}
	if len(records) > maximumChange {
		return nil, refuse(TooLarge, "a change may hold at most 2000 records")
	}
	return a.change(ctx, in.who, records, in.options)
}

// maximumChange is how many records one change may hold.
const maximumChange = 2000

// getDeployment serves the deployment's settings.
func (a *API) getDeployment(context.Context, any) (any, error) {
	objects, err := a.objects(func(s *fold.State) []configuration.Record {
		d := s.Deployment()
		return []configuration.Record{{Deployment: &d}}
	})
	if err != nil {
		return nil, err
	}
	return objects.Objects[0], nil
}

// putRecord serves a change that one record holds, of the kind that accept
// tells.
func (a *API) putRecord(what string, accept func(configuration.Record) bool) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(call)
		r, err := decodeRecord(in)
		if err != nil {
			return nil, err
		}
		if !accept(r) {
			return nil, refuse(BadRequest, "the record must hold a "+what)
		}
		return a.change(ctx, in.who, []configuration.Record{r}, in.options)
	}
}

func printable(s string) string {
	const most = 160
	if len(s) > most {
		s = s[:most]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
