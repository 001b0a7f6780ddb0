package platformlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// formatVersion is the first element of every encoded batch and snapshot.
const formatVersion = 1

// Limits that decoding enforces on a batch or snapshot.
const (
	// maximumElements limits each array and each map.
	maximumElements = 1 << 20
	// maximumNesting limits the depth of nested arrays and maps.
	maximumNesting = 16
)

// RecordCodec encodes and decodes operator records. Decoding an encoded record must
// give an equal record.
type RecordCodec struct {
	Encode func(configuration.Record) ([]byte, error)
	Decode func([]byte) (configuration.Record, error)
}

// Codec encodes and decodes batches and snapshots in deterministic CBOR, so that
// equal values have equal bytes. Snapshots are compressed with gzip.
type Codec struct {
	records RecordCodec
	encode  cbor.EncMode
	decode  cbor.DecMode
}

// NewCodec returns a codec that uses records for the operator records in batches and
// snapshots.
func NewCodec(records RecordCodec) (*Codec, error) {
	encode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	decode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maximumElements,
		MaxMapPairs:      maximumElements,
		MaxNestedLevels:  maximumNesting,
	}.DecMode()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Codec{records: records, encode: encode, decode: decode}, nil
}

// The wire types are arrays without field names, so the order of the fields is part
// of the format. A new field is appended at the end and needs a new formatVersion.
type wireBatch struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	Node    string
	First   uint64
	Started uint64
	Records []wireRecord
}

type wireRecord struct {
	_    struct{} `cbor:",toarray"`
	Kind recordKind
	Body cbor.RawMessage
}

// recordKind identifies a record type in the log. The numbers never change.
type recordKind uint

const (
	kindConfigurationImported recordKind = iota + 1
	kindLeaseTaken
	kindDoubtCleared
	kindPermitAttached
	kindPermitReleased
	kindServerGone
	kindCommandClaimed
	kindCommandFinished
	kindCommandAbandoned
	kindSnapshotChunk
)

type wireConfigurationImported struct {
	_       struct{} `cbor:",toarray"`
	After   uint64
	Through uint64
	Changes []wireChange
}

type wireChange struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Record []byte
}

type wireServerFacts struct {
	_            struct{} `cbor:",toarray"`
	Memory       int64
	ChecksFences bool
	Region       string
	Zone         string
}

type wireLeaseTaken struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Owner  string
	Expect uint64
	Facts  wireServerFacts
}

type wireDoubtCleared struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Fence   uint64
	Proof   int
	Earlier uint64
}

// wirePermit encodes PermitAttached and PermitReleased.
type wirePermit struct {
	_      struct{} `cbor:",toarray"`
	Model  string
	Server string
	Fence  uint64
}

type wireServerGone struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Fence  uint64
}

type wireCommandClaimed struct {
	_       struct{} `cbor:",toarray"`
	Key     [32]byte
	Request [32]byte
}

type wireCommandFinished struct {
	_           struct{} `cbor:",toarray"`
	Key         [32]byte
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

type wireCommandAbandoned struct {
	_   struct{} `cbor:",toarray"`
	Key [32]byte
}

type wireSnapshotChunk struct {
	_       struct{} `cbor:",toarray"`
	Through uint64
	Index   int
	Count   int
	Data    []byte
}

// EncodeBatch encodes a batch.
func (c *Codec) EncodeBatch(b fold.Batch) ([]byte, error) {
	w := wireBatch{Version: formatVersion, Node: string(b.Node), First: uint64(b.First), Started: uint64(b.StartOffset),
		Records: make([]wireRecord, 0, len(b.Records))}
	for _, r := range b.Records {
		kind, body, err := c.recordToWire(r)
		if err != nil {
			return nil, err
		}
		raw, err := c.encode.Marshal(body)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		w.Records = append(w.Records, wireRecord{Kind: kind, Body: raw})
	}
	data, err := c.encode.Marshal(w)
	return data, errors.WithStack(err)
}

// recordToWire converts a record to its wire type. It also returns the kind that
// identifies this type.
func (c *Codec) recordToWire(r fold.Record) (recordKind, any, error) {
	switch r := r.(type) {
	case fold.ConfigurationImported:
		changes, err := c.changesToWire(r.Changes)
		return kindConfigurationImported, wireConfigurationImported{After: uint64(r.After), Through: uint64(r.Through), Changes: changes}, err
	case fold.LeaseTaken:
		return kindLeaseTaken, wireLeaseTaken{Server: string(r.Server), Owner: string(r.Owner), Expect: uint64(r.Expect),
			Facts: factsToWire(r.Facts)}, nil
	case fold.DoubtCleared:
		return kindDoubtCleared, wireDoubtCleared{Server: string(r.Server), Fence: uint64(r.Fence), Proof: int(r.Proof),
			Earlier: uint64(r.EarlierFence)}, nil
	case fold.PermitAttached:
		return kindPermitAttached, wirePermit{Model: string(r.Model), Server: string(r.Server), Fence: uint64(r.Fence)}, nil
	case fold.PermitReleased:
		return kindPermitReleased, wirePermit{Model: string(r.Model), Server: string(r.Server), Fence: uint64(r.Fence)}, nil
	case fold.ServerGone:
		return kindServerGone, wireServerGone{Server: string(r.Server), Fence: uint64(r.Fence)}, nil
	case fold.CommandClaimed:
		return kindCommandClaimed, wireCommandClaimed{Key: r.Key, Request: r.Request}, nil
	case fold.CommandFinished:
		return kindCommandFinished, wireCommandFinished{Key: r.Key, Status: r.Status, ContentType: r.ContentType, Body: r.Body,
			Truncated: r.Truncated}, nil
	case fold.CommandAbandoned:
		return kindCommandAbandoned, wireCommandAbandoned{Key: r.Key}, nil
	case fold.SnapshotChunk:
		return kindSnapshotChunk, wireSnapshotChunk{Through: uint64(r.Through), Index: r.Index, Count: r.Count, Data: r.Data}, nil
	}
	return 0, nil, errors.Errorf("unsupported record type %T", r)
}

func factsToWire(f fold.ServerFacts) wireServerFacts {
	return wireServerFacts{Memory: int64(f.Memory), ChecksFences: f.ChecksFences, Region: string(f.Region), Zone: string(f.Zone)}
}

func (w wireServerFacts) toServerFacts() fold.ServerFacts {
	return fold.ServerFacts{Memory: domain.Bytes(w.Memory), ChecksFences: w.ChecksFences,
		Region: domain.Region(w.Region), Zone: domain.Zone(w.Zone)}
}

func (c *Codec) changesToWire(changes []fold.Change) ([]wireChange, error) {
	all := make([]wireChange, 0, len(changes))
	for _, change := range changes {
		raw, err := c.records.Encode(change.Record)
		if err != nil {
			return nil, err
		}
		all = append(all, wireChange{Offset: uint64(change.Offset), Record: raw})
	}
	return all, nil
}

func (c *Codec) changesFromWire(wire []wireChange) ([]fold.Change, error) {
	all := make([]fold.Change, 0, len(wire))
	for _, w := range wire {
		r, err := c.records.Decode(w.Record)
		if err != nil {
			return nil, err
		}
		all = append(all, fold.Change{Offset: domain.Offset(w.Offset), Record: r})
	}
	return all, nil
}
