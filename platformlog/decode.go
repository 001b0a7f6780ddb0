package platformlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// DecodeBatch decodes a batch. It returns an error if any record cannot be decoded.
func (c *Codec) DecodeBatch(data []byte) (fold.Batch, error) {
	var w wireBatch
	if err := c.decode.Unmarshal(data, &w); err != nil {
		return fold.Batch{}, errors.WithStack(err)
	}
	if w.Version != formatVersion {
		return fold.Batch{}, errors.Errorf("unsupported format version %d of a batch", w.Version)
	}
	b := fold.Batch{Node: domain.NodeID(w.Node), First: domain.Sequence(w.First), StartOffset: domain.Offset(w.Started),
		Records: make([]fold.Record, 0, len(w.Records))}
	for _, r := range w.Records {
		record, err := c.recordFromWire(r)
		if err != nil {
			return fold.Batch{}, err
		}
		b.Records = append(b.Records, record)
	}
	return b, nil
}

// unmarshal decodes one wire type.
func unmarshal[T any](c *Codec, raw cbor.RawMessage) (T, error) {
	var w T
	err := c.decode.Unmarshal(raw, &w)
	return w, errors.WithStack(err)
}

func (c *Codec) recordFromWire(r wireRecord) (fold.Record, error) {
	switch r.Kind {
	case kindConfigurationImported:
		return c.importFromWire(r.Body)
	case kindLeaseTaken:
		w, err := unmarshal[wireLeaseTaken](c, r.Body)
		return fold.LeaseTaken{Server: domain.ServerID(w.Server), Owner: domain.NodeID(w.Owner),
			Expect: domain.Fence(w.Expect), Facts: w.Facts.toServerFacts()}, err
	case kindDoubtCleared:
		w, err := unmarshal[wireDoubtCleared](c, r.Body)
		return fold.DoubtCleared{Server: domain.ServerID(w.Server), Fence: domain.Fence(w.Fence),
			Proof: fold.DoubtProof(w.Proof), EarlierFence: domain.Fence(w.Earlier)}, err
	case kindPermitAttached:
		w, err := unmarshal[wirePermit](c, r.Body)
		return fold.PermitAttached{Model: domain.ModelName(w.Model), Server: domain.ServerID(w.Server), Fence: domain.Fence(w.Fence)}, err
	case kindPermitReleased:
		w, err := unmarshal[wirePermit](c, r.Body)
		return fold.PermitReleased{Model: domain.ModelName(w.Model), Server: domain.ServerID(w.Server), Fence: domain.Fence(w.Fence)}, err
	case kindServerGone:
		w, err := unmarshal[wireServerGone](c, r.Body)
		return fold.ServerGone{Server: domain.ServerID(w.Server), Fence: domain.Fence(w.Fence)}, err
	}
	return c.commandRecordFromWire(r)
}

func (c *Codec) commandRecordFromWire(r wireRecord) (fold.Record, error) {
	switch r.Kind {
	case kindCommandClaimed:
		w, err := unmarshal[wireCommandClaimed](c, r.Body)
		return fold.CommandClaimed{Key: w.Key, Request: w.Request}, err
	case kindCommandFinished:
		w, err := unmarshal[wireCommandFinished](c, r.Body)
		return fold.CommandFinished{Key: w.Key, Status: w.Status, ContentType: w.ContentType, Body: w.Body, Truncated: w.Truncated}, err
	case kindCommandAbandoned:
		w, err := unmarshal[wireCommandAbandoned](c, r.Body)
		return fold.CommandAbandoned{Key: w.Key}, err
	case kindSnapshotChunk:
		w, err := unmarshal[wireSnapshotChunk](c, r.Body)
		return fold.SnapshotChunk{Through: domain.Offset(w.Through), Index: w.Index, Count: w.Count, Data: w.Data}, err
	}
	return nil, errors.Errorf("unknown record kind %d", r.Kind)
}

func (c *Codec) importFromWire(raw cbor.RawMessage) (fold.Record, error) {
	w, err := unmarshal[wireConfigurationImported](c, raw)
	if err != nil {
		return nil, err
	}
	changes, err := c.changesFromWire(w.Changes)
	return fold.ConfigurationImported{After: domain.Offset(w.After), Through: domain.Offset(w.Through), Changes: changes}, err
}
