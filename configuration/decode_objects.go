package configuration

import (
	"fmt"
	"math"
	"strings"

	"github.com/parsleylug/parsleylug/domain"
)

func readAdapter(r *objectReader, record *Record) {
	record.Adapter = &Adapter{
		Name:    domain.AdapterName(r.name("Name", true)),
		Model:   domain.ModelName(r.name("Model", true)),
		Version: domain.VersionName(r.name("Version", false)),
		Memory:  readMemory(r, record.SchemaVersion, false),
	}
}

func readService(r *objectReader, record *Record) {
	s := &Service{Name: domain.ServiceName(r.name("Name", true))}
	s.IdempotentMethods = r.names("IdempotentMethods")
	for i, m := range s.IdempotentMethods {
		if m != strings.ToUpper(m) {
			r.addFault(r.peek("IdempotentMethods"), fmt.Sprintf("IdempotentMethods[%d]", i),
				"must be in capitals", fmt.Sprintf("write %q", strings.ToUpper(m)))
		}
	}
	record.Service = s
}

func readTeam(r *objectReader, record *Record) {
	t := &Team{
		Name:              domain.TeamName(r.name("Name", true)),
		RequestsPerSecond: r.nonNegative("RequestsPerSecond"),
		TokensPerMinute:   domain.Tokens(r.integer("TokensPerMinute", 0, math.MaxInt64)),
		Concurrency:       int(r.integer("Concurrency", 0, maximumCount)),
		Priority:          domain.Priority(r.integer("Priority", -maximumCount, maximumCount)),
		Share:             r.nonNegative("Share"),
	}
	for _, n := range r.names("Models") {
		t.Models = append(t.Models, domain.ModelName(n))
	}
	t.Objectives = readObjectives(r)
	for i, n := range r.list("Keys") {
		t.Keys = append(t.Keys, readKey(r, n, i))
	}
	record.Team = t
}

func readKey(r *objectReader, n *jsonValue, i int) Key {
	inner := r.decoder.newReader(n, fmt.Sprintf("%s[%d]", r.fieldPath("Keys"), i))
	if inner == nil {
		return Key{}
	}
	defer inner.reportUnknownFields()
	return Key{
		Name:    inner.name("Name", true),
		Hash:    inner.hash("Hash"),
		Role:    readRole(inner),
		Expires: inner.timestamp("Expires"),
	}
}

func readRole(r *objectReader) Role {
	s := r.text("Role")
	for _, role := range Roles() {
		if role.String() == s {
			return role
		}
	}
	r.addFault(r.peek("Role"), "Role", "must be ReadOnly, Caller or Operator", suggestRole(s))
	return ReadOnly
}

func suggestRole(s string) string {
	var names []string
	for _, role := range Roles() {
		names = append(names, role.String())
	}
	if near := closestName(s, names); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return ""
}

// Roles returns every role.
func Roles() []Role { return []Role{ReadOnly, Caller, Operator} }

// Kinds returns every kind of named object.
func Kinds() []Kind { return []Kind{KindModel, KindAdapter, KindService, KindTeam} }

// WireName returns the name of the kind in records, for example "Model".
func (k Kind) WireName() string { return strings.TrimPrefix(k.String(), "Kind") }

func readDeployment(r *objectReader, record *Record) {
	d := &Deployment{
		ColdStartWeight: r.nonNegative("ColdStartWeight"),
		IdleWeight:      r.nonNegative("IdleWeight"),
		DefaultTimeout:  r.milliseconds("DefaultTimeoutMilliseconds"),
		MaximumTimeout:  r.milliseconds("MaximumTimeoutMilliseconds"),
		RequireKeys:     r.boolean("RequireKeys"),
	}
	if d.MaximumTimeout > 0 && d.DefaultTimeout > d.MaximumTimeout {
		r.addFault(r.peek("DefaultTimeoutMilliseconds"), "DefaultTimeoutMilliseconds", "must not be over MaximumTimeoutMilliseconds", "")
	}
	record.Deployment = d
}

func readDrain(r *objectReader, record *Record) {
	d := &Drain{
		Server: domain.ServerID(r.vmID("Server")),
		Node:   domain.NodeID(r.vmID("Node")),
		Zone:   domain.Zone(r.name("Zone", false)),
		Off:    r.boolean("Off"),
	}
	targets := 0
	for _, s := range []string{string(d.Server), string(d.Node), string(d.Zone)} {
		if s != "" {
			targets++
		}
	}
	if targets != 1 {
		r.decoder.addFault(r.value.offset, r.path, "must name exactly one of Server, Node and Zone", "")
	}
	record.Drain = d
}

func readQuarantine(r *objectReader, record *Record) {
	record.Quarantine = &Quarantine{Content: r.hash("Content"), Release: r.boolean("Release")}
}

func readRemove(r *objectReader, record *Record) {
	remove := &Remove{}
	kindName := r.text("Kind")
	known := false
	for _, k := range Kinds() {
		if k.WireName() == kindName {
			remove.Kind, known = k, true
		}
	}
	if !known {
		r.addFault(r.peek("Kind"), "Kind", "must be Model, Adapter, Service or Team", "")
	}
	remove.Name = readRemovedName(r, remove.Kind)
	record.Remove = remove
}

// FullName returns MODEL:ADAPTER, which is unique among all adapters.
func (a Adapter) FullName() string { return string(a.Model) + ":" + string(a.Name) }

// ParseAdapter splits MODEL:ADAPTER and reports whether both names are valid.
func ParseAdapter(s string) (domain.ModelName, domain.AdapterName, bool) {
	model, adapter, _ := strings.Cut(s, ":")
	return domain.ModelName(model), domain.AdapterName(adapter), ValidName(model) && ValidName(adapter)
}

// readRemovedName decodes the name of a removed object, which is MODEL:ADAPTER for an
// adapter.
func readRemovedName(r *objectReader, k Kind) string {
	if k != KindAdapter {
		return r.name("Name", true)
	}
	s := r.text("Name")
	if _, _, ok := ParseAdapter(s); !ok {
		r.addFault(r.peek("Name"), "Name", "must be MODEL:ADAPTER", "for example \"hymn-order-8b:moldova\"")
	}
	return s
}
