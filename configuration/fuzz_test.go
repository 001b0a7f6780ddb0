package configuration

import (
	"bytes"
	"reflect"
	"testing"
)

// FuzzDecode checks that every decoded record is unchanged after it is encoded in either
// schema version and decoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range Sample() {
		for _, version := range []int{SchemaVersion1, SchemaVersion2} {
			r.SchemaVersion = version
			raw, err := Encode(r)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(raw)
		}
	}
	for _, raw := range []string{
		`{"SchemaVersion":1,"Model":{"Name":"m","MemoryGiB":0.5,"Region":"a","Newer":{"Regions":["a","b"]}}}`,
		`{"SchemaVersion":2,"Expect":3,"ID":"x","Team":{"Name":"t","Keys":[{"Name":"k","Role":"Caller","Hash":"` +
			`0000000000000000000000000000000000000000000000000000000000000000","Expires":"2027-01-01T01:00:00.5+10:00"}]}}`,
		`{"SchemaVersion":2,"Team":{"Name":"t","Objectives":[{"Model":"m","Measure":"ColdStart","WithinMilliseconds":9000,"Share":0.9}]}}`,
		`{"SchemaVersion":2,"Drain":{"Zone":"z","Off":true}}`,
		`{"SchemaVersion":2,"Deployment":{"IdleWeight":1e300}}`,
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil {
			return
		}
		want := Upgrade(r)
		for _, r := range []Record{Upgrade(r), Downgrade(r)} {
			encoded, err := Encode(r)
			if err != nil {
				t.Fatalf("Encode in version %d: %v", r.SchemaVersion, err)
			}
			again, err := Decode(encoded)
			if err != nil {
				t.Fatalf("Decode(%s): %v", encoded, err)
			}
			if got := Upgrade(again); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %s, want the same content as %s", encoded, raw)
			}
		}
	})
}

// FuzzDecodeFile checks that faults have lines within the file and that the records of a
// file without faults are unchanged after they are encoded and decoded again.
func FuzzDecodeFile(f *testing.F) {
	var sample bytes.Buffer
	if err := EncodeFile(&sample, Sample()); err != nil {
		f.Fatal(err)
	}
	f.Add(sample.Bytes())
	f.Add([]byte("{\"Records\":[{},\n{\"SchemaVersion\":2,\"Remove\":{\"Kind\":\"Model\",\"Name\":\"m\"}}]}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		records, faults := DecodeFile("f", bytes.NewReader(raw))
		lines := 1 + bytes.Count(raw, []byte("\n"))
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Message == "" {
				t.Fatalf("got fault %+v in a file of %d lines", fault, lines)
			}
		}
		if len(faults) > 0 {
			return
		}
		var again bytes.Buffer
		if err := EncodeFile(&again, records); err != nil {
			t.Fatal(err)
		}
		got, faults := DecodeFile("f", &again)
		if len(faults) > 0 || !reflect.DeepEqual(got, records) && len(records) > 0 {
			t.Fatalf("got %v and %v, want the records unchanged", got, faults)
		}
	})
}
