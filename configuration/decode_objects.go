package configuration

import (
	"fmt"
	"math"
	"strings"

	"github.com/parsleylug/parsleylug/domain"
)

func readAdapter(r *reader, record *Record) {
	record.Adapter = &Adapter{
		Name:    domain.AdapterName(r.name("Name", true)),
		Model:   domain.ModelName(r.name("Model", true)),
		Version: domain.VersionName(r.name("Version", false)),
		Memory:  readMemory(r, record.SchemaVersion, false),
	}
}

func readService(r *reader, record *Record) {
	s := &Service{Name: domain.ServiceName(r.name("Name", true))}
	s.IdempotentMethods = r.names("IdempotentMethods")
	for i, m := range s.IdempotentMethods {
		if m != strings.ToUpper(m) {
			r.fault(r.peek("IdempotentMethods"), fmt.Sprintf("IdempotentMethods[%d]", i),
				"must be in capitals", fmt.Sprintf("write %q", strings.ToUpper(m)))
		}
	}
	record.Service = s
}

func readTeam(r *reader, record *Record) {
	t := &Team{
		Name:              domain.TeamName(r.name("Name", true)),
		RequestsPerSecond: r.amount("RequestsPerSecond"),
		TokensPerMinute:   domain.Tokens(r.integer("TokensPerMinute", 0, math.MaxInt64)),
		Concurrency:       int(r.integer("Concurrency", 0, maximumCount)),
		Priority:          domain.Priority(r.integer("Priority", -maximumCount, maximumCount)),
		Share:             r.amount("Share"),
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

func readKey(r *reader, n *node, i int) Key {
	inner := r.c.object(n, fmt.Sprintf("%s[%d]", r.join("Keys"), i))
	if inner == nil {
		return Key{}
	}
	defer inner.finish()
	return Key{
		Name:    inner.name("Name", true),
		Hash:    inner.hash("Hash"),
		Role:    readRole(inner),
		Expires: inner.instant("Expires"),
	}
}

func readRole(r *reader) Role {
	s := r.text("Role")
	for _, role := range Roles() {
		if role.String() == s {
			return role
		}
	}
	r.fault(r.peek("Role"), "Role", "must be ReadOnly, Caller or Operator", suggestRole(s))
	return ReadOnly
}

func suggestRole(s string) string {
	var names []string
	for _, role := range Roles() {
		names = append(names, role.String())
	}
	if near := closest(s, names); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return ""
}

// Roles returns every role, the least first.
func Roles() []Role { return []Role{ReadOnly, Caller, Operator} }

// Kinds returns every kind of named object.
func Kinds() []Kind { return []Kind{KindModel, KindAdapter, KindService, KindTeam} }

// WireName returns the kind as records and URLs name it, for example "Model".
func (k Kind) WireName() string { return strings.TrimPrefix(k.String(), "Kind") }

func readDeployment(r *reader, record *Record) {
	d := &Deployment{
		ColdStartWeight: r.amount("ColdStartWeight"),
		IdleWeight:      r.amount("IdleWeight"),
		DefaultTimeout:  r.milliseconds("DefaultTimeoutMilliseconds"),
		MaximumTimeout:  r.milliseconds("MaximumTimeoutMilliseconds"),
		RequireKeys:     r.flag("RequireKeys"),
	}
	if d.MaximumTimeout > 0 && d.DefaultTimeout > d.MaximumTimeout {
		r.fault(r.peek("DefaultTimeoutMilliseconds"), "DefaultTimeoutMilliseconds", "must not be over MaximumTimeoutMilliseconds", "")
	}
	record.Deployment = d
}

func readDrain(r *reader, record *Record) {
	d := &Drain{
		Server: domain.ServerID(r.identity("Server")),
		Node:   domain.NodeID(r.identity("Node")),
		Zone:   domain.Zone(r.name("Zone", false)),
		Off:    r.flag("Off"),
	}
	set := 0
	for _, s := range []string{string(d.Server), string(d.Node), string(d.Zone)} {
		if s != "" {
			set++
		}
	}
	if set != 1 {
		r.c.add(r.node.offset, r.path, "must name exactly one of Server, Node and Zone", "")
	}
	record.Drain = d
}

func readQuarantine(r *reader, record *Record) {
	record.Quarantine = &Quarantine{Content: r.hash("Content"), Release: r.flag("Release")}
}

func readRemove(r *reader, record *Record) {
	remove := &Remove{}
	word := r.text("Kind")
	known := false
	for _, k := range Kinds() {
		if k.WireName() == word {
			remove.Kind, known = k, true
		}
	}
	if !known {
		r.fault(r.peek("Kind"), "Kind", "must be Model, Adapter, Service or Team", "")
	}
	remove.Name = readRemovedName(r, remove.Kind)
	record.Remove = remove
}

// FullName returns MODEL:ADAPTER, which names the adapter among all.
func (a Adapter) FullName() string { return string(a.Model) + ":" + string(a.Name) }

// ParseAdapter splits MODEL:ADAPTER.
func ParseAdapter(s string) (domain.ModelName, domain.AdapterName, bool) {
	model, adapter, _ := strings.Cut(s, ":")
	return domain.ModelName(model), domain.AdapterName(adapter), ValidName(model) && ValidName(adapter)
}

// readRemovedName reads a name; an adapter is named MODEL:ADAPTER.
func readRemovedName(r *reader, k Kind) string {
	if k != KindAdapter {
		return r.name("Name", true)
	}
	s := r.text("Name")
	if _, _, ok := ParseAdapter(s); !ok {
		r.fault(r.peek("Name"), "Name", "must be MODEL:ADAPTER", "for example \"hymn-order-8b:moldova\"")
	}
	return s
}
