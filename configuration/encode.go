package configuration

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// Encode encodes a record in its SchemaVersion; 0 means the current one. Decode returns the
// same record again. A record that Decode would reject is an error.
func Encode(r Record) ([]byte, error) {
	if r.SchemaVersion == 0 {
		r.SchemaVersion = CurrentSchemaVersion
	}
	raw, err := json.Marshal(wireOf(r))
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	if _, err := Decode(raw); err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	return raw, nil
}

// Upgrade returns the record with the newest schema version.
func Upgrade(r Record) Record {
	r.SchemaVersion = CurrentSchemaVersion
	return r
}

// Downgrade returns the record with schema version 1. Encoding it loses nothing, since the
// field Newer holds the values that version 1 cannot express.
func Downgrade(r Record) Record {
	r.SchemaVersion = SchemaVersion1
	return r
}

// wireRecord is the JSON form of a Record.
type wireRecord struct {
	SchemaVersion int
	Expect        *uint64         `json:",omitempty"`
	Author        string          `json:",omitempty"`
	ID            string          `json:",omitempty"`
	Model         *wireModel      `json:",omitempty"`
	Adapter       *wireAdapter    `json:",omitempty"`
	Service       *wireService    `json:",omitempty"`
	Team          *wireTeam       `json:",omitempty"`
	Deployment    *wireDeployment `json:",omitempty"`
	Drain         *wireDrain      `json:",omitempty"`
	Quarantine    *wireQuarantine `json:",omitempty"`
	Remove        *wireRemove     `json:",omitempty"`
}

// wireModel has the fields of both schema versions; each record uses those of its own.
type wireModel struct {
	Name              string
	Version           string     `json:",omitempty"`
	MemoryGiB         *float64   `json:",omitempty"`
	MemoryBytes       *int64     `json:",omitempty"`
	Copies            int        `json:",omitempty"`
	Region            string     `json:",omitempty"`
	Newer             *wireNewer `json:",omitempty"`
	Regions           []string   `json:",omitempty"`
	Paused            bool       `json:",omitempty"`
	Concurrency       int        `json:",omitempty"`
	RequestsPerSecond float64    `json:",omitempty"`
}

// wireNewer is the value of the field Newer in schema version 1. It holds what only newer
// schema versions can express: a list of several regions.
type wireNewer struct {
	Regions []string `json:",omitempty"`
}

type wireAdapter struct {
	Name        string
	Model       string
	Version     string   `json:",omitempty"`
	MemoryGiB   *float64 `json:",omitempty"`
	MemoryBytes *int64   `json:",omitempty"`
}

type wireService struct {
	Name              string
	IdempotentMethods []string `json:",omitempty"`
}

type wireTeam struct {
	Name              string
	Keys              []wireKey       `json:",omitempty"`
	RequestsPerSecond float64         `json:",omitempty"`
	TokensPerMinute   int64           `json:",omitempty"`
	Concurrency       int             `json:",omitempty"`
	Priority          int             `json:",omitempty"`
	Share             float64         `json:",omitempty"`
	Models            []string        `json:",omitempty"`
	Objectives        []wireObjective `json:",omitempty"`
}

type wireKey struct {
	Name    string
	Hash    string
	Role    string
	Expires string `json:",omitempty"`
}

type wireDeployment struct {
	ColdStartWeight            float64 `json:",omitempty"`
	IdleWeight                 float64 `json:",omitempty"`
	DefaultTimeoutMilliseconds int64   `json:",omitempty"`
	MaximumTimeoutMilliseconds int64   `json:",omitempty"`
	RequireKeys                bool    `json:",omitempty"`
}

type wireDrain struct {
	Server string `json:",omitempty"`
	Node   string `json:",omitempty"`
	Zone   string `json:",omitempty"`
	Off    bool   `json:",omitempty"`
}

type wireQuarantine struct {
	Content string
	Release bool `json:",omitempty"`
}

type wireRemove struct {
	Kind string
	Name string
}

func wireOf(r Record) wireRecord {
	w := wireRecord{SchemaVersion: r.SchemaVersion, Author: r.Author, ID: r.ID}
	if r.Expect != nil {
		expect := uint64(*r.Expect)
		w.Expect = &expect
	}
	if r.Model != nil {
		w.Model = wireOfModel(r.SchemaVersion, *r.Model)
	}
	if r.Adapter != nil {
		w.Adapter = wireOfAdapter(r.SchemaVersion, *r.Adapter)
	}
	if r.Service != nil {
		w.Service = &wireService{Name: string(r.Service.Name), IdempotentMethods: r.Service.IdempotentMethods}
	}
	if r.Team != nil {
		w.Team = wireOfTeam(*r.Team)
	}
	if r.Deployment != nil {
		w.Deployment = wireOfDeployment(*r.Deployment)
	}
	if r.Drain != nil {
		w.Drain = &wireDrain{Server: string(r.Drain.Server), Node: string(r.Drain.Node), Zone: string(r.Drain.Zone), Off: r.Drain.Off}
	}
	if r.Quarantine != nil {
		w.Quarantine = &wireQuarantine{Content: hex.EncodeToString(r.Quarantine.Content[:]), Release: r.Quarantine.Release}
	}
	if r.Remove != nil {
		w.Remove = &wireRemove{Kind: r.Remove.Kind.WireName(), Name: r.Remove.Name}
	}
	return w
}

func wireOfModel(version int, m Model) *wireModel {
	w := &wireModel{
		Name:              string(m.Name),
		Version:           string(m.Version),
		Copies:            int(m.Copies),
		Paused:            m.Paused,
		Concurrency:       m.Concurrency,
		RequestsPerSecond: m.RequestsPerSecond,
	}
	w.MemoryGiB, w.MemoryBytes = wireOfMemory(version, m.Memory)
	regionNames := wireOfRegions(m.Regions)
	if version != SchemaVersion1 {
		w.Regions = regionNames
		return w
	}
	if len(regionNames) > 0 {
		// A reader that ignores Newer sees only the first region, and hence loads
		// replicas in no region that the operator did not name.
		w.Region = regionNames[0]
	}
	if len(regionNames) > 1 {
		w.Newer = &wireNewer{Regions: regionNames}
	}
	return w
}

func wireOfRegions(regions []domain.Region) []string {
	var names []string
	for _, r := range regions {
		names = append(names, string(r))
	}
	return names
}

func wireOfMemory(version int, b domain.Bytes) (*float64, *int64) {
	if version == SchemaVersion1 {
		gibibytes := float64(b) / float64(domain.Gibibyte)
		return &gibibytes, nil
	}
	bytes := int64(b)
	return nil, &bytes
}

func wireOfAdapter(version int, a Adapter) *wireAdapter {
	w := &wireAdapter{Name: string(a.Name), Model: string(a.Model), Version: string(a.Version)}
	w.MemoryGiB, w.MemoryBytes = wireOfMemory(version, a.Memory)
	return w
}

func wireOfTeam(t Team) *wireTeam {
	w := &wireTeam{
		Name:              string(t.Name),
		RequestsPerSecond: t.RequestsPerSecond,
		TokensPerMinute:   int64(t.TokensPerMinute),
		Concurrency:       t.Concurrency,
		Priority:          int(t.Priority),
		Share:             t.Share,
		Objectives:        wireOfObjectives(t.Objectives),
	}
	for _, m := range t.Models {
		w.Models = append(w.Models, string(m))
	}
	for _, k := range t.Keys {
		key := wireKey{Name: k.Name, Hash: hex.EncodeToString(k.Hash[:]), Role: k.Role.String()}
		if !k.Expires.IsZero() {
			key.Expires = k.Expires.UTC().Format(time.RFC3339Nano)
		}
		w.Keys = append(w.Keys, key)
	}
	return w
}

func wireOfDeployment(d Deployment) *wireDeployment {
	return &wireDeployment{
		ColdStartWeight:            d.ColdStartWeight,
		IdleWeight:                 d.IdleWeight,
		DefaultTimeoutMilliseconds: d.DefaultTimeout.Milliseconds(),
		MaximumTimeoutMilliseconds: d.MaximumTimeout.Milliseconds(),
		RequireKeys:                d.RequireKeys,
	}
}
