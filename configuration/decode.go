package configuration

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// The supported schema versions.
const (
	// SchemaVersion1 has memory in GiB and one region per model.
	SchemaVersion1 = 1
	// SchemaVersion2 has memory in bytes and a list of regions per model.
	SchemaVersion2 = 2
	// CurrentSchemaVersion is the newest version, in which records without a version are
	// encoded.
	CurrentSchemaVersion = SchemaVersion2
)

// maximumCount is the maximum of numbers such as copies and concurrency.
const maximumCount = 1_000_000

// Decode decodes one operator record of any supported schema version. Its error is a Faults
// with every fault of the record.
func Decode(raw []byte) (Record, error) {
	d := &decoder{raw: raw}
	record := d.decodeSingle()
	if len(d.faults) > 0 {
		return Record{}, d.faults
	}
	return record, nil
}

func (d *decoder) decodeSingle() Record {
	if len(d.raw) > MaximumRecordSize {
		d.addFault(0, "", fmt.Sprintf("is larger than %d bytes", MaximumRecordSize), "")
		return Record{}
	}
	n, err := parseTree(d.raw)
	if err != nil {
		d.addSyntaxFault(err)
		return Record{}
	}
	return d.decodeRecord(n, "")
}

// addSyntaxFault reports that the input is not valid JSON.
func (d *decoder) addSyntaxFault(err error) {
	offset := int64(len(d.raw))
	if at, ok := syntaxOffset(err); ok {
		offset = at
	}
	d.addFault(offset, "", "is not valid JSON: "+errors.Cause(err).Error(), "")
}

func (d *decoder) decodeRecord(n *jsonValue, path string) Record {
	r := d.newReader(n, path)
	if r == nil {
		return Record{}
	}
	record := Record{SchemaVersion: d.decodeSchemaVersion(r), Author: r.text("Author"), ID: r.name("ID", false)}
	if len(record.Author) > maximumNameBytes {
		r.addFault(r.peek("Author"), "Author", "must be at most 128 bytes", "")
	}
	if r.get("Expect") != nil {
		expect := domain.Offset(r.integer("Expect", 0, math.MaxInt64))
		record.Expect = &expect
	}
	if record.SchemaVersion != 0 {
		d.decodePayload(r, &record)
		r.reportUnknownFields()
	}
	return record
}

// decodeSchemaVersion decodes SchemaVersion; it returns 0 after a fault.
func (d *decoder) decodeSchemaVersion(r *objectReader) int {
	if r.get("SchemaVersion") == nil {
		r.addFault(nil, "SchemaVersion", "must be given", fmt.Sprintf("write \"SchemaVersion\": %d", CurrentSchemaVersion))
		return 0
	}
	return int(r.integer("SchemaVersion", SchemaVersion1, CurrentSchemaVersion))
}

// decodePayload decodes the object in the record and checks that there is exactly one.
func (d *decoder) decodePayload(r *objectReader, record *Record) {
	payloadCount := 0
	for _, p := range payloads() {
		n := r.get(p.name)
		if n == nil {
			continue
		}
		payloadCount++
		inner := d.newReader(n, r.fieldPath(p.name))
		if inner == nil {
			continue
		}
		p.read(inner, record)
		inner.reportUnknownFields()
	}
	if payloadCount != 1 {
		d.addFault(r.value.offset, r.path, "must hold exactly one of Model, Adapter, Service, Team, Deployment, Drain, Quarantine and Remove", "")
	}
}

// payload is one kind of object in a record and the function that decodes it.
type payload struct {
	name string
	read func(*objectReader, *Record)
}

func payloads() []payload {
	return []payload{
		{"Model", readModel},
		{"Adapter", readAdapter},
		{"Service", readService},
		{"Team", readTeam},
		{"Deployment", readDeployment},
		{"Drain", readDrain},
		{"Quarantine", readQuarantine},
		{"Remove", readRemove},
	}
}

func readModel(r *objectReader, record *Record) {
	m := &Model{
		Name:              domain.ModelName(r.name("Name", true)),
		Version:           domain.VersionName(r.name("Version", false)),
		Memory:            readMemory(r, record.SchemaVersion, true),
		Copies:            domain.ReplicaCount(r.integer("Copies", 0, maximumCount)),
		Regions:           readRegions(r, record.SchemaVersion),
		Paused:            r.boolean("Paused"),
		Concurrency:       int(r.integer("Concurrency", 0, maximumCount)),
		RequestsPerSecond: r.nonNegative("RequestsPerSecond"),
	}
	record.Model = m
}

// readMemory decodes MemoryGiB in version 1 and MemoryBytes in version 2.
func readMemory(r *objectReader, version int, required bool) domain.Bytes {
	name := "MemoryBytes"
	var memory domain.Bytes
	faults := len(r.decoder.faults)
	if version == SchemaVersion1 {
		name = "MemoryGiB"
		memory = readGibibytes(r, name)
	} else {
		memory = r.bytes(name)
	}
	if required && memory == 0 && len(r.decoder.faults) == faults {
		r.addFault(r.peek(name), name, "must be given and more than zero", "")
	}
	return memory
}

func readGibibytes(r *objectReader, name string) domain.Bytes {
	v := r.nonNegative(name) * float64(domain.Gibibyte)
	if v > float64(MaximumBytes) || v != math.Trunc(v) {
		r.addFault(r.peek(name), name, "must be a whole number of bytes, given in GiB", "for example 16 or 0.5")
		return 0
	}
	return domain.Bytes(v)
}

// readRegions decodes Regions in version 2. Version 1 has the single field Region; a record
// with several regions that was downgraded to version 1 lists them all in Newer.
func readRegions(r *objectReader, version int) []domain.Region {
	if version != SchemaVersion1 {
		return regions(r.names("Regions"))
	}
	single := r.name("Region", false)
	newer := r.get("Newer")
	if newer != nil {
		return readRegionsOfNewer(r, newer, single)
	}
	if single == "" {
		return nil
	}
	return []domain.Region{domain.Region(single)}
}

func readRegionsOfNewer(r *objectReader, newer *jsonValue, single string) []domain.Region {
	inner := r.decoder.newReader(newer, r.fieldPath("Newer"))
	if inner == nil {
		return nil
	}
	names := inner.names("Regions")
	inner.reportUnknownFields()
	if len(names) < 2 || names[0] != single {
		r.addFault(newer, "Newer", "must list two regions or more, of which the first is Region", "")
	}
	return regions(names)
}

func regions(names []string) []domain.Region {
	var out []domain.Region
	for _, n := range names {
		out = append(out, domain.Region(n))
	}
	return out
}

// syntaxOffset returns the offset of a JSON syntax error.
func syntaxOffset(err error) (int64, bool) {
	var e *json.SyntaxError
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.Offset, true
}
