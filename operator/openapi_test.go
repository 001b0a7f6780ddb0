package operator

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/objective"
)

var update = flag.Bool("update", false, "write openapi.json from the handlers")

// schema is a part of an OpenAPI description.
type schema map[string]any

// components holds the named schemas of a description.
type components map[string]schema

// describe generates the description from the routes and the wire types.
func describe(t *testing.T) []byte {
	c := components{"Record": recordSchema(t)}
	c["Error"] = c.structSchema(reflect.TypeFor[wireError]())
	paths := map[string]map[string]schema{}
	for _, r := range New(Deps{System: &fakeSystem{}}).routes() {
		if paths[r.path] == nil {
			paths[r.path] = map[string]schema{}
		}
		paths[r.path][strings.ToLower(r.method)] = c.operation(r)
	}
	description := schema{
		"openapi": "3.1.0",
		"info":    schema{"title": "parsleylug administration API", "version": "1", "description": "Every answer is PascalCase JSON. Records are described in docs/configuration.md."},
		"paths":   paths,
		"components": schema{
			"securitySchemes": schema{"Key": schema{"type": "http", "scheme": "bearer"}},
			"schemas":         c,
		},
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(description); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func (c components) operation(r route) schema {
	ok := schema{"description": "OK", "content": schema{"text/html": schema{}}}
	if r.response != nil {
		ok["content"] = schema{"application/json": schema{"schema": c.schemaOf(reflect.TypeOf(r.response))}}
	}
	refused := schema{"description": "Refused", "content": schema{"application/json": schema{"schema": ref("Error")}}}
	out := schema{"operationId": r.name, "summary": r.summary, "parameters": parameters(r), "responses": schema{"200": ok, "default": refused}}
	if r.access != accessPublic {
		out["security"] = []schema{{"Key": []string{}}}
		out["x-roles"] = rolesOf(r.access)
	}
	if r.body != nil {
		out["requestBody"] = schema{"required": true, "content": schema{"application/json": schema{"schema": c.bodySchema(r.body)}}}
	}
	return out
}

func rolesOf(a access) []string {
	var names []string
	for _, r := range configuration.Roles() {
		if a.allows(r) {
			names = append(names, r.String())
		}
	}
	return names
}

func parameters(r route) []schema {
	out := []schema{}
	for _, m := range regexp.MustCompile(`\{(\w+)\}`).FindAllStringSubmatch(r.path, -1) {
		out = append(out, schema{"name": m[1], "in": "path", "required": true, "schema": schema{"type": "string"}})
	}
	if r.isChange {
		for _, name := range []string{"dryRun", "wait"} {
			out = append(out, schema{"name": name, "in": "query", "schema": schema{"type": "boolean"}})
		}
	}
	if r.isChange && r.method != http.MethodPost {
		out = append(out, schema{"name": "If-Match", "in": "header", "description": "version that the object must still have", "schema": schema{"type": "string"}})
	}
	if r.name == "history" {
		out = append(out, schema{"name": "limit", "in": "query", "schema": schema{"type": "integer"}})
	}
	return out
}

func ref(name string) schema { return schema{"$ref": "#/components/schemas/" + name} }

func (c components) bodySchema(body any) schema {
	switch body.(type) {
	case recordBody:
		return ref("Record")
	case fileBody:
		return schema{"type": "object", "required": []string{"Records"}, "properties": schema{"Records": schema{"type": "array", "items": ref("Record")}}}
	}
	return c.schemaOf(reflect.TypeOf(body))
}

func (c components) schemaOf(t reflect.Type) schema {
	if t == reflect.TypeFor[json.RawMessage]() {
		return schema{"type": "object"}
	}
	switch t.Kind() {
	case reflect.Struct:
		name := strings.TrimPrefix(strings.TrimPrefix(t.Name(), "wire"), "Wire")
		if c[name] == nil {
			c[name] = c.structSchema(t)
		}
		return ref(name)
	case reflect.Slice:
		return schema{"type": "array", "items": c.schemaOf(t.Elem())}
	case reflect.Bool:
		return schema{"type": "boolean"}
	case reflect.String:
		return schema{"type": "string"}
	case reflect.Float64:
		return schema{"type": "number"}
	default:
		return schema{"type": "integer"}
	}
}

func (c components) structSchema(t reflect.Type) schema {
	properties, required := schema{}, []string{}
	for i := range t.NumField() {
		f := t.Field(i)
		properties[f.Name] = c.schemaOf(f.Type)
		if !strings.Contains(f.Tag.Get("json"), "omitempty") {
			required = append(required, f.Name)
		}
	}
	return schema{"type": "object", "properties": properties, "required": required}
}

// recordSchema infers the schema of a record from encoded records with every field set.
func recordSchema(t *testing.T) schema {
	expect, hash := domain.Offset(1), [32]byte{1}
	one, end := time.Second, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	var merged schema
	for _, r := range []configuration.Record{
		{Model: &configuration.Model{Name: "m", Version: "v", Memory: 1, Copies: 1, Regions: []domain.Region{"r"}, Paused: true, Concurrency: 1, RequestsPerSecond: .5}},
		{Adapter: &configuration.Adapter{Name: "a", Model: "m", Version: "v", Memory: 1}},
		{Service: &configuration.Service{Name: "s", IdempotentMethods: []string{"GET"}}},
		{Team: &configuration.Team{Name: "t", RequestsPerSecond: .5, TokensPerMinute: 1, Concurrency: 1, Priority: 1, Share: .5, Models: []domain.ModelName{"m"},
			Objectives: []configuration.Objective{{Model: "m", Measure: objective.FirstToken, Within: one, Share: .5}},
			Keys:       []configuration.Key{{Name: "k", Hash: hash, Expires: end}}}},
		{Deployment: &configuration.Deployment{ColdStartWeight: .5, IdleWeight: .5, DefaultTimeout: one, MaximumTimeout: one, RequireKeys: true}},
		{Drain: &configuration.Drain{Server: "s", Off: true}}, {Drain: &configuration.Drain{Node: "n"}}, {Drain: &configuration.Drain{Zone: "z"}},
		{Quarantine: &configuration.Quarantine{Content: hash, Release: true}},
		{Remove: &configuration.Remove{Name: "m"}},
	} {
		r.Expect, r.Author, r.ID = &expect, "a", "i"
		raw, err := configuration.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		var example any
		if err := json.Unmarshal(raw, &example); err != nil {
			t.Fatal(err)
		}
		merged = mergeSchemas(merged, inferSchema(example))
	}
	merged["required"] = []string{"SchemaVersion"}
	return merged
}

func inferSchema(example any) schema {
	switch v := example.(type) {
	case map[string]any:
		properties := schema{}
		for name, one := range v {
			properties[name] = inferSchema(one)
		}
		return schema{"type": "object", "properties": properties}
	case []any:
		return schema{"type": "array", "items": inferSchema(v[0])}
	case bool:
		return schema{"type": "boolean"}
	case float64:
		if v != float64(int64(v)) {
			return schema{"type": "number"}
		}
		return schema{"type": "integer"}
	}
	return schema{"type": "string"}
}

func mergeSchemas(a, b schema) schema {
	if a == nil || b["properties"] == nil {
		return b
	}
	properties := a["properties"].(schema)
	for name, one := range b["properties"].(schema) {
		if old, ok := properties[name].(schema); ok {
			one = mergeSchemas(old, one.(schema))
		}
		properties[name] = one
	}
	return a
}

func TestDescriptionMatchesTheHandlers(t *testing.T) {
	want := describe(t)
	if *update {
		if err := os.WriteFile("openapi.json", want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile("openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("openapi.json differs from the handlers; run go test ./operator -run Description -update")
	}
}

// TestEveryDescribedPathIsServed requests each path of openapi.json without a key, in a
// deployment that requires keys: routes with security must respond 401, the others 200.
func TestEveryDescribedPathIsServed(t *testing.T) {
	var described struct {
		Paths map[string]map[string]struct {
			Security []any `json:"security"`
		} `json:"paths"`
	}
	if err := json.Unmarshal(description, &described); err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, keyedConfiguration()...)
	if got, least := len(described.Paths), 20; got < least {
		t.Errorf("got %d paths, want at least %d", got, least)
	}
	for path, methods := range described.Paths {
		for method, operation := range methods {
			want := http.StatusOK
			if len(operation.Security) > 0 {
				want = http.StatusUnauthorized
			}
			got, _ := f.do(strings.ToUpper(method), regexp.MustCompile(`\{\w+\}`).ReplaceAllString(path, "x"), "")
			if got != want {
				t.Errorf("%s %s: got %d, want %d", method, path, got, want)
			}
		}
	}
}
