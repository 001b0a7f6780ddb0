package peer

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleylug/parsleylug/verdict"
)

// zeroMessages holds one zero value of each message type.
var zeroMessages = []Message{
	Ping{}, Pong{}, Failed{}, Wake{}, Replicas{}, Load{}, Loaded{}, AcquirePace{}, Paced{}, ReleasePace{},
	Reports{}, CommandQuery{}, CommandAnswer{}, Suspects{}, SnapshotRequest{}, Snapshot{}, LogRecords{},
	Applied{}, Usage{}, StatusRequest{}, Status{}, Leave{}, Hello{}, Welcome{}, Gossip{}, Compare{}, Differs{},
	AppendRecords{}, Appended{}, ReleasePermit{}, Released{}, CompareReports{}, ReportVersions{}, Subscribe{}, Loads{},
}

// fill sets v, with all its fields and elements, to values that differ from zero and,
// where the type allows, from each other. valueCount is the number of values set so far.
func fill(v reflect.Value, valueCount *int) {
	*valueCount++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), valueCount)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), valueCount)
		}
	case reflect.String:
		v.SetString(string(rune('a' + *valueCount)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(int64(verdict.NotRun) + int64(*valueCount%2))
	case reflect.Int64:
		v.SetInt(int64(*valueCount))
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		v.SetUint(uint64(*valueCount % 251))
	case reflect.Float64:
		v.SetFloat(float64(*valueCount))
	}
}

func filled(m Message) Message {
	v := reflect.New(reflect.TypeOf(m)).Elem()
	valueCount := 0
	fill(v, &valueCount)
	return v.Interface().(Message)
}

func TestEveryMessageKeepsEveryField(t *testing.T) {
	seen := map[messageNumber]bool{}
	for _, zero := range zeroMessages {
		want := filled(zero)
		data, err := encodeFrame(wireFrame{Kind: frameRequest, Call: 7, WithinMicroseconds: 9}, want)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		f, err := decodeFrame(data)
		if err != nil || f.Kind != frameRequest || f.Call != 7 || f.WithinMicroseconds != 9 {
			t.Fatalf("%T: got frame %+v %v", want, f, err)
		}
		got, err := decodeMessage(f)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v %v, want %+v", got, err, want)
		}
		seen[f.Number] = true
	}
	for n := numberPing; n <= numberLoads; n++ {
		if !seen[n] {
			t.Errorf("got no message with number %d, want every number tested", n)
		}
	}
}

func TestUnknownEnumNamesBecomeZeroValues(t *testing.T) {
	got := failedFromWire(wireFailed{Verdict: "Surely", Reason: "Because"})
	if got.Verdict != verdict.MayHaveRun || got.Reason != verdict.Unknown {
		t.Errorf("got %+v, want MayHaveRun and Unknown", got)
	}
	for r := verdict.Unknown; r <= verdict.QuotaUnknown; r++ {
		if got := enumByName(r.String(), verdict.QuotaUnknown); got != r {
			t.Errorf("got %v, want %v", got, r)
		}
	}
}

func TestFieldsAndMessagesOfNewerVersions(t *testing.T) {
	body, _ := cbor.Marshal(map[int]any{1: uint64(3), 99: "from a newer version"})
	got, err := decodeMessage(wireFrame{Number: numberReleasePace, Body: body})
	if want := (ReleasePace{Slot: 3}); err != nil || got != Message(want) {
		t.Errorf("got %v %v, want %v", got, err, want)
	}
	if _, err := decodeMessage(wireFrame{Number: 999, Body: body}); err == nil {
		t.Error("got no error for an unknown number")
	}
}

func TestHugeLengthsAreRefused(t *testing.T) {
	// The headers of an array of 2^32-1 elements and of a byte string of 2^40 bytes.
	for _, claim := range [][]byte{{0x9a, 0xff, 0xff, 0xff, 0xff}, {0x5b, 0, 0, 1, 0, 0, 0, 0, 0}} {
		data := append([]byte{0x85, 0x00, byte(numberLogRecords), 0x00, 0x00, 0xa1, 0x02}, claim...)
		if _, err := decodeFrame(data); err == nil {
			t.Errorf("got no error for %x", data)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, zero := range zeroMessages {
		for _, m := range []Message{zero, filled(zero)} {
			data, err := encodeFrame(wireFrame{Kind: frameRequest, Call: 1}, m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decodeFrame(data)
		if err != nil {
			return
		}
		m, err := decodeMessage(frame)
		if err != nil {
			return
		}
		again, err := encodeFrame(frame, m)
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		// An empty map takes one byte and decodes to a Suspect, whose encoding contains
		// a 32-byte hash.
		if got, want := len(again), 64*len(data)+512; got > want {
			t.Errorf("got %d bytes from %d, want at most %d", got, len(data), want)
		}
	})
}
