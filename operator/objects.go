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

// Object is one configured object with its version, which a change may give as its
// precondition.
type Object struct {
	Version uint64
	// Record is the configuration record that sets the object to its current value, in
	// the newest schema version.
	Record json.RawMessage
}

// Objects is a list of objects.
type Objects struct {
	// Configuration is the offset of the newest operator record that the node has applied.
	Configuration uint64
	Objects       []Object
}

// recordBody and fileBody are placeholders in route.body for a configuration record and
// a configuration file.
type (
	recordBody struct{}
	fileBody   struct{}
)

// collection is one kind of named object with paths of its own.
type collection struct {
	// word is the path segment, for example "models".
	word string
	kind configuration.Kind
	// list returns the record of each object.
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

// allRecords returns the records that make up the configuration in force.
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

// nameOf returns the name of a record's object, which identifies the object in the paths
// of the API.
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

// objects returns the records that list selects, with their versions.
func (a *API) objects(list func(*fold.State) []configuration.Record) (Objects, error) {
	out := Objects{Objects: []Object{}}
	var encodeErr error
	a.deps.System.View(func(s *fold.State) {
		out.Configuration = uint64(s.ConfigurationOffset())
		for _, r := range list(s) {
			o, err := objectOf(s, r)
			if err != nil {
				encodeErr = err
				return
			}
			out.Objects = append(out.Objects, o)
		}
	})
	return out, encodeErr
}

// listObjects handles GET of a collection.
func (a *API) listObjects(c collection) func(context.Context, any) (any, error) {
	return func(_ context.Context, _ any) (any, error) {
		return a.objects(c.list)
	}
}

// getObject handles GET of one named object.
func (a *API) getObject(c collection) func(context.Context, any) (any, error) {
	return func(_ context.Context, request any) (any, error) {
		return a.object(c, request.(authorizedRequest).path("name"))
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

// putObject handles PUT of one named object.
func (a *API) putObject(c collection) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(authorizedRequest)
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

// deleteObject handles DELETE of one named object.
func (a *API) deleteObject(c collection) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(authorizedRequest)
		if _, err := a.object(c, in.path("name")); err != nil {
			return nil, err
		}
		r := configuration.Record{Remove: &configuration.Remove{Kind: c.kind, Name: in.path("name")}}
		if err := setPrecondition(&r, in); err != nil {
			return nil, err
		}
		return a.change(ctx, in.who, []configuration.Record{r}, in.options)
	}
}

// decodeRecord decodes the body as one record and sets its precondition.
func decodeRecord(in authorizedRequest) (configuration.Record, error) {
	r, err := configuration.Decode(in.body)
	var faults configuration.Faults
	if errors.As(err, &faults) {
		return r, faultsError(faults)
	}
	return r, setPrecondition(&r, in)
}

func faultsError(faults []configuration.Fault) *Error {
	e := refuse(BadRequest, "the configuration has faults; nothing was changed")
	e.Faults = faults
	return e
}

// setPrecondition sets the expected version from the header If-Match, if there is one.
func setPrecondition(r *configuration.Record, in authorizedRequest) error {
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

// showConfiguration handles the request for the whole configuration.
func (a *API) showConfiguration(context.Context, any) (any, error) {
	return a.objects(allRecords)
}

// applyConfiguration handles a configuration file: all its records or none are appended.
func (a *API) applyConfiguration(ctx context.Context, request any) (any, error) {
	in := request.(authorizedRequest)
	records, faults := configuration.DecodeFile("", bytes.NewReader(in.body))
	if len(faults) > 0 {
		return nil, faultsError(faults)
	}
	if len(records) > maximumChangeRecords {
		return nil, refuse(TooLarge, "a change may hold at most 2000 records")
	}
	return a.change(ctx, in.who, records, in.options)
}

// maximumChangeRecords bounds the records of one configuration file.
const maximumChangeRecords = 2000

// getDeployment handles the request for the settings of the installation.
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

// putRecord returns a handler for one record, which must satisfy accept. The error names
// the expected kind.
func (a *API) putRecord(kind string, accept func(configuration.Record) bool) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		in := request.(authorizedRequest)
		r, err := decodeRecord(in)
		if err != nil {
			return nil, err
		}
		if !accept(r) {
			return nil, refuse(BadRequest, "the record must hold a "+kind)
		}
		return a.change(ctx, in.who, []configuration.Record{r}, in.options)
	}
}

// printable makes text of a request safe for an error message: it shortens the text and
// replaces control characters.
func printable(s string) string {
	const maximumBytes = 160
	if len(s) > maximumBytes {
		s = s[:maximumBytes]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
