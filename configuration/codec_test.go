package configuration

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

func TestSampleRoundTripsInBothVersions(t *testing.T) {
	for _, r := range Sample() {
		for _, version := range []int{SchemaVersion1, SchemaVersion2} {
			r.SchemaVersion = version
			raw, err := Encode(r)
			if err != nil {
				t.Fatalf("Encode(%s): %v", r.Subject(), err)
			}
			got, err := Decode(raw)
			if err != nil {
				t.Fatalf("Decode(%s): %v", raw, err)
			}
			if !reflect.DeepEqual(got, r) {
				t.Errorf("got %s, want the record to be unchanged", raw)
			}
		}
	}
}

func TestDecodeFileReportsEveryFault(t *testing.T) {
	file := `{"Records": [
  {"SchemaVersion": 2, "Model": {"Name": "m", "MemoryBytes": "16GiB", "Copys": 1}},
  {"SchemaVersion": 1, "Model": {"Name": "n n", "MemoryGiB": -1}},
  {"SchemaVersion": 9},
  {"SchemaVersion": 2, "Model": {"Name": "m", "MemoryBytes": 1}},
  {"SchemaVersion": 2, "Team": {"Name": "t", "Keys": [{"Name": "k", "Hash": "00", "Role": "operator"}]}}
], "Extra": 1}`
	_, faults := DecodeFile("f.json", strings.NewReader(file))
	got := Faults(faults).Error()
	want := strings.Join([]string{
		`f.json:7: Extra: is not a known field (the fields here are Records)`,
		`f.json:2: Records[0].Model.Copys: is not a known field (did you mean "Copies"?)`,
		`f.json:3: Records[1].Model.Name: must be at most 128 letters, digits, '.', '_' or '-' (for example "coral-summary-7b")`,
		`f.json:3: Records[1].Model.MemoryGiB: must be a number that is not negative`,
		`f.json:4: Records[2].SchemaVersion: must be a whole number from 1 to 2`,
		`f.json:5: Records[3]: sets Model m again, as Records[0] does (keep one of them)`,
		`f.json:6: Records[4].Team.Keys[0].Hash: must be a SHA-256 in 64 hexadecimal digits`,
		`f.json:6: Records[4].Team.Keys[0].Role: must be ReadOnly, Caller or Operator (did you mean "Operator"?)`,
	}, "\n")
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestFileRoundTrip(t *testing.T) {
	var b bytes.Buffer
	if err := EncodeFile(&b, Sample()); err != nil {
		t.Fatal(err)
	}
	got, faults := DecodeFile("sample", &b)
	if len(faults) > 0 {
		t.Fatal(Faults(faults))
	}
	if want := Sample(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestDowngradeThenUpgradeRoundTrips(t *testing.T) {
	name := rapid.StringMatching(`[a-z][a-z0-9._-]{0,20}`)
	rapid.Check(t, func(t *rapid.T) {
		want := Record{SchemaVersion: SchemaVersion2, Model: &Model{
			Name:   domain.ModelName(name.Draw(t, "name")),
			Memory: domain.Bytes(rapid.Int64Range(1, int64(MaximumBytes)).Draw(t, "memory")),
			Copies: domain.ReplicaCount(rapid.IntRange(0, maximumCount).Draw(t, "copies")),
		}}
		for _, r := range rapid.SliceOfN(name, 0, 4).Draw(t, "regions") {
			want.Model.Regions = append(want.Model.Regions, domain.Region(r))
		}
		old, err := Encode(Downgrade(want))
		if err != nil {
			t.Fatal(err)
		}
		read, err := Decode(old)
		if err != nil {
			t.Fatal(err)
		}
		if got := Upgrade(read); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v through %s, want %+v", got.Model, old, want.Model)
		}
	})
}

func TestDecodeFileBoundsInputsAndFaults(t *testing.T) {
	faulty := `{"Records": [` + strings.Repeat(`{"SchemaVersion": 2, "Copys": 1},`, 20_000) + `{}]}`
	_, faults := DecodeFile("f", strings.NewReader(faulty))
	if got, want := len(faults), MaximumFaults+1; got != want {
		t.Errorf("got %d faults, want %d", got, want)
	}
	for name, file := range map[string]string{
		"many values": `{"Records": [` + strings.Repeat("1,", maximumValues) + `1]}`,
		"deep":        strings.Repeat("[", 1_000_000),
		"large":       strings.Repeat(" ", MaximumFileSize+1),
	} {
		_, faults := DecodeFile("f", strings.NewReader(file))
		if got, want := len(faults), 1; got != want {
			t.Errorf("%s: got %d faults, want %d", name, got, want)
		}
	}
}

func TestDrainAcceptsNodeIDs(t *testing.T) {
	want := Record{SchemaVersion: SchemaVersion2, Drain: &Drain{Node: "[::1]:39453@1796360584125843763"}}
	raw, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and %v, want %+v", got, err, want)
	}
	want.Drain.Node = "a b"
	if raw, err := Encode(want); err == nil {
		t.Errorf("got %s, want a fault", raw)
	}
}
