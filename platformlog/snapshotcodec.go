package platformlog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

type wireSnapshot struct {
	_             struct{} `cbor:",toarray"`
	Version       uint
	Offset        uint64
	Configuration uint64
	Objects       []wireChange
	Results       []wireConfigurationResult
	Servers       []wireServerSnapshot
	Permits       []wirePermitSnapshot
	Commands      []wireCommand
	Claims        uint64
	Nodes         []wireNodeSnapshot
	Forgotten     uint64
}

type wireConfigurationResult struct {
	_         struct{} `cbor:",toarray"`
	Offset    uint64
	Rejection int
}

type wireServerSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Owner  string
	Fence  uint64
	Facts  wireServerFacts
	Doubts []wireDoubt
	Gone   uint64
}

type wireDoubt struct {
	_     struct{} `cbor:",toarray"`
	Fence uint64
	Owner string
	Until uint64
}

type wirePermitSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Model      string
	Server     string
	AttachedAt uint64
	Memory     int64
	Adapters   int64
	Outgrown   bool
}

type wireCommand struct {
	_           struct{} `cbor:",toarray"`
	Key         [32]byte
	State       int
	Holder      string
	Request     [32]byte
	ClaimedAt   uint64
	Number      uint64
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

type wireNodeSnapshot struct {
	_    struct{} `cbor:",toarray"`
	Node string
	Last uint64
	Seen uint64
}

// EncodeSnapshot encodes and compresses a snapshot.
func (c *Codec) EncodeSnapshot(n fold.Snapshot) ([]byte, error) {
	objects, err := c.changesToWire(n.Objects)
	if err != nil {
		return nil, err
	}
	w := wireSnapshot{Version: formatVersion, Offset: uint64(n.Offset), Configuration: uint64(n.Configuration),
		Objects: objects, Claims: n.AcceptedClaims, Forgotten: uint64(n.NewestEvicted)}
	for _, r := range n.Results {
		w.Results = append(w.Results, wireConfigurationResult{Offset: uint64(r.Offset), Rejection: int(r.Rejection)})
	}
	for _, v := range n.Servers {
		w.Servers = append(w.Servers, serverToWire(v))
	}
	for _, p := range n.Permits {
		w.Permits = append(w.Permits, wirePermitSnapshot{Model: string(p.Model), Server: string(p.Server), AttachedAt: uint64(p.AttachedAt),
			Memory: int64(p.Memory), Adapters: int64(p.AdapterMemory), Outgrown: p.Outgrown})
	}
	for _, m := range n.Commands {
		w.Commands = append(w.Commands, wireCommand{Key: m.Key, State: int(m.State), Holder: string(m.Holder), Request: m.Request,
			ClaimedAt: uint64(m.ClaimedAt), Number: m.Number, Status: m.Status, ContentType: m.ContentType, Body: m.Body, Truncated: m.Truncated})
	}
	for _, k := range n.Nodes {
		w.Nodes = append(w.Nodes, wireNodeSnapshot{Node: string(k.Node), Last: uint64(k.LastSequence), Seen: uint64(k.LastBatchAt)})
	}
	data, err := c.encode.Marshal(w)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return compress(data)
}

// maximumSnapshotBytes is the largest length of a decompressed snapshot.
const maximumSnapshotBytes = 256 << 20

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return b.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maximumSnapshotBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(plain) > maximumSnapshotBytes {
		return nil, errors.New("decompressed snapshot is too large")
	}
	return plain, nil
}

func serverToWire(v fold.ServerSnapshot) wireServerSnapshot {
	w := wireServerSnapshot{Server: string(v.Lease.Server), Owner: string(v.Lease.Owner), Fence: uint64(v.Lease.Fence),
		Facts: factsToWire(v.Lease.Facts), Gone: uint64(v.GoneAt)}
	for _, d := range v.Lease.Doubts {
		w.Doubts = append(w.Doubts, wireDoubt{Fence: uint64(d.Fence), Owner: string(d.Owner), Until: uint64(d.LeaseLostAt)})
	}
	return w
}

// DecodeSnapshot decompresses and decodes a snapshot. It does not check whether the
// snapshot is consistent; fold.Restore does.
func (c *Codec) DecodeSnapshot(data []byte) (fold.Snapshot, error) {
	plain, err := decompress(data)
	if err != nil {
		return fold.Snapshot{}, err
	}
	w, err := unmarshal[wireSnapshot](c, plain)
	if err != nil {
		return fold.Snapshot{}, err
	}
	if w.Version != formatVersion {
		return fold.Snapshot{}, errors.Errorf("unsupported format version %d of a snapshot", w.Version)
	}
	objects, err := c.changesFromWire(w.Objects)
	if err != nil {
		return fold.Snapshot{}, err
	}
	n := fold.Snapshot{Offset: domain.Offset(w.Offset), Configuration: domain.Offset(w.Configuration), Objects: objects,
		AcceptedClaims: w.Claims, NewestEvicted: domain.Offset(w.Forgotten)}
	for _, r := range w.Results {
		n.Results = append(n.Results, fold.ConfigurationResult{Offset: domain.Offset(r.Offset), Rejection: fold.Rejection(r.Rejection)})
	}
	for _, v := range w.Servers {
		n.Servers = append(n.Servers, v.toServerSnapshot())
	}
	for _, p := range w.Permits {
		n.Permits = append(n.Permits, fold.PermitSnapshot{Model: domain.ModelName(p.Model), Server: domain.ServerID(p.Server),
			AttachedAt: domain.Offset(p.AttachedAt), Memory: domain.Bytes(p.Memory), AdapterMemory: domain.Bytes(p.Adapters), Outgrown: p.Outgrown})
	}
	for _, m := range w.Commands {
		n.Commands = append(n.Commands, fold.Command{Key: m.Key, State: fold.CommandState(m.State), Holder: domain.NodeID(m.Holder),
			Request: m.Request, ClaimedAt: domain.Offset(m.ClaimedAt), Number: m.Number, Status: m.Status,
			ContentType: m.ContentType, Body: m.Body, Truncated: m.Truncated})
	}
	for _, k := range w.Nodes {
		n.Nodes = append(n.Nodes, fold.NodeSnapshot{Node: domain.NodeID(k.Node), LastSequence: domain.Sequence(k.Last), LastBatchAt: domain.Offset(k.Seen)})
	}
	return n, nil
}

func (w wireServerSnapshot) toServerSnapshot() fold.ServerSnapshot {
	l := fold.Lease{Server: domain.ServerID(w.Server), Owner: domain.NodeID(w.Owner), Fence: domain.Fence(w.Fence), Facts: w.Facts.toServerFacts()}
	for _, d := range w.Doubts {
		l.Doubts = append(l.Doubts, fold.Doubt{Fence: domain.Fence(d.Fence), Owner: domain.NodeID(d.Owner), LeaseLostAt: domain.Offset(d.Until)})
	}
	return fold.ServerSnapshot{Lease: l, GoneAt: domain.Offset(w.Gone)}
}
