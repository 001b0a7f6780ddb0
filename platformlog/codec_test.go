package platformlog

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

var operatorRecordCodec = RecordCodec{Encode: configuration.Encode, Decode: configuration.Decode}

func testCodec(t testing.TB) *Codec {
	t.Helper()
	c, err := NewCodec(operatorRecordCodec)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sampleBatch returns a batch with one record of every type.
func sampleBatch() fold.Batch {
	b := fold.Batch{Node: "n1", First: 4, StartOffset: 7, Records: []fold.Record{
		fold.LeaseTaken{Server: "s", Owner: "n1", Expect: 3, Facts: fold.ServerFacts{Memory: 5, ChecksFences: true, Region: "r", Zone: "z"}},
		fold.DoubtCleared{Server: "s", Fence: 8, Proof: fold.OwnerVMGone, EarlierFence: 3},
		fold.PermitAttached{Model: "m", Server: "s", Fence: 8},
		fold.PermitReleased{Model: "m", Server: "s", Fence: 8},
		fold.ServerGone{Server: "s", Fence: 8},
		fold.CommandClaimed{Key: fold.CommandKey{1}, Request: [32]byte{2}},
		fold.CommandFinished{Key: fold.CommandKey{1}, Status: 201, ContentType: "text/plain", Body: []byte("b"), Truncated: true},
		fold.CommandAbandoned{Key: fold.CommandKey{1}},
		fold.SnapshotChunk{Through: 6, Index: 1, Count: 2, Data: []byte("d")},
	}}
	imported := fold.ConfigurationImported{After: 1}
	for i, r := range configuration.Sample() {
		imported.Changes = append(imported.Changes, fold.Change{Offset: domain.Offset(i + 2), Record: r})
		imported.Through = domain.Offset(i + 2)
	}
	b.Records = append(b.Records, imported)
	return b
}

func TestBatchRoundTripsWithEqualBytes(t *testing.T) {
	c := testCodec(t)
	want := sampleBatch()
	first, err := c.EncodeBatch(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.DecodeBatch(first)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	second, err := c.EncodeBatch(got)
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("the encoding of an equal batch differs (%v)", err)
	}
}

// TestInvariantEqualStatesHaveEqualBytes checks that two states have equal encodings
// after the same records. One of them is sometimes replaced by the state restored from its
// encoded snapshot.
func TestInvariantEqualStatesHaveEqualBytes(t *testing.T) {
	c := testCodec(t)
	rapid.Check(t, func(t *rapid.T) {
		continuous, restored := &fold.State{}, &fold.State{}
		for o := domain.Offset(1); o <= 20; o++ {
			b := fold.Batch{Node: "n", First: domain.Sequence(o), Records: []fold.Record{drawRecord(t, continuous, o)}}
			data, err := c.EncodeBatch(b)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := c.DecodeBatch(data)
			if err != nil {
				t.Fatal(err)
			}
			continuous.Apply(o, b)
			restored.Apply(o, decoded)
			got, want := encodeState(t, c, restored), encodeState(t, c, continuous)
			if !bytes.Equal(got, want) {
				t.Fatalf("offset %d: the states differ", o)
			}
			if rapid.Bool().Draw(t, "restart") {
				restored = decodeState(t, c, got)
			}
		}
	})
}

// drawRecord draws a record to apply to s at offset o.
func drawRecord(t *rapid.T, s *fold.State, o domain.Offset) fold.Record {
	server := domain.ServerID(fmt.Sprint("s", rapid.IntRange(1, 2).Draw(t, "server")))
	lease, _ := s.Lease(server)
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		r := rapid.SampledFrom(configuration.Sample()).Draw(t, "sample")
		at := s.ConfigurationOffset() + 1
		return fold.ConfigurationImported{After: at - 1, Through: at, Changes: []fold.Change{{Offset: at, Record: r}}}
	case 1:
		return fold.LeaseTaken{Server: server, Owner: "n", Expect: s.LastFence(server), Facts: fold.ServerFacts{Memory: 1 << 40}}
	case 2:
		for _, m := range s.Models() {
			return fold.PermitAttached{Model: m.Name, Server: server, Fence: lease.Fence}
		}
	case 3:
		return fold.CommandFinished{Key: fold.CommandKey{byte(o - 1)}, Status: 200, Body: []byte{1}}
	}
	return fold.CommandClaimed{Key: fold.CommandKey{byte(o)}}
}

func encodeState(t *rapid.T, c *Codec, s *fold.State) []byte {
	data, err := c.EncodeSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decodeState(t *rapid.T, c *Codec, data []byte) *fold.State {
	snapshot, err := c.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	s, err := fold.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// FuzzDecodeBatch checks that any bytes are rejected or decode to a batch. The state
// machine must apply this batch without a panic, and encoding and decoding must not change
// it.
func FuzzDecodeBatch(f *testing.F) {
	c := testCodec(f)
	data, err := c.EncodeBatch(sampleBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := c.DecodeBatch(data)
		if err != nil {
			return
		}
		var s fold.State
		s.Apply(9, b)
		again, err := c.EncodeBatch(b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.DecodeBatch(again)
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v (%v), want %+v", got, err, b)
		}
	})
}

// FuzzDecodeSnapshot checks that any bytes are rejected or restore a state. Decoding the
// encoding of this state and encoding it again must give equal bytes.
func FuzzDecodeSnapshot(f *testing.F) {
	c := testCodec(f)
	var s fold.State
	s.Apply(9, sampleBatch())
	data, err := c.EncodeSnapshot(s.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	plain, err := decompress(data)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(plain)
	f.Fuzz(func(t *testing.T, plain []byte) {
		data, err := compress(plain)
		if err != nil {
			t.Fatal(err)
		}
		n, err := c.DecodeSnapshot(data)
		if err != nil {
			return
		}
		s, err := fold.Restore(n)
		if err != nil {
			return
		}
		first, err := c.EncodeSnapshot(s.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		again, err := c.DecodeSnapshot(first)
		if err != nil {
			t.Fatal(err)
		}
		r, err := fold.Restore(again)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := c.EncodeSnapshot(r.Snapshot())
		if !bytes.Equal(first, second) {
			t.Fatal("the encoding of an equal state differs")
		}
	})
}
