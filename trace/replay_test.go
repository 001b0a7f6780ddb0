package trace

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestTracesMatchTheirExpectedOutcomes(t *testing.T) {
	files, err := filepath.Glob("../traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d traces, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			f, err := os.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			differences, err := Replay(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range differences {
				t.Error(d)
			}
		})
	}
}

const headerLine = `{"SchemaVersion":1,"Matter":"Test"}` + "\n"

func TestDifferenceNamesLineAndOutcomes(t *testing.T) {
	got, err := Replay(strings.NewReader(headerLine + "\n" + `{"Event":"Offer","ID":1,"Want":{"Answer":"Queued"}}`))
	if err != nil || len(got) != 1 {
		t.Fatalf("got %v, %v, want one difference", got, err)
	}
	want := `line 3: Offer: got {"Answer":"Admitted"}, want {"Answer":"Queued"}`
	if got[0].String() != want {
		t.Errorf("got %q, want %q", got[0], want)
	}
}

func TestInvalidTraceReturnsFormatError(t *testing.T) {
	for _, trace := range []string{
		"", "{", `{"SchemaVersion":2}`, headerLine + `{"Event":"Nothing"}`, headerLine + `{"Event":"Offer","Typo":1}`,
		headerLine + `{"Event":"Offer"} {}`, headerLine + `{"Event":"Standing","Content":"xy"}`,
		headerLine + `{"AtMilliseconds":5,"Event":"Request"}` + "\n" + `{"AtMilliseconds":4,"Event":"Request"}`,
	} {
		_, err := Replay(strings.NewReader(trace))
		var format *FormatError
		if !errors.As(err, &format) {
			t.Errorf("got %v for %q, want a FormatError", err, trace)
		}
	}
}

func FuzzReplay(f *testing.F) {
	files, _ := filepath.Glob("../traces/*.jsonl")
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		first, errFirst := Replay(bytes.NewReader(b))
		second, errSecond := Replay(bytes.NewReader(b))
		if len(first) != len(second) || (errFirst == nil) != (errSecond == nil) {
			t.Errorf("got %d and %d differences from two replays of the same trace", len(first), len(second))
		}
	})
}
