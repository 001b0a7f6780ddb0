package arrivals

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestGenerateIsDeterministic(t *testing.T) {
	for _, name := range Names() {
		got, err := Generate(name, 7)
		if err != nil {
			t.Fatal(err)
		}
		want, _ := Generate(name, 7)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: two traces with the same seed differ", name)
		}
		t.Logf("%s: %d requests", name, len(got.Requests))
	}
	if _, err := Generate("other", 1); err == nil {
		t.Error("got no error for an unknown name")
	}
}

func TestWriteAndReadRoundTrip(t *testing.T) {
	trace, err := Generate("imnar", 3)
	if err != nil {
		t.Fatal(err)
	}
	var first, second bytes.Buffer
	if err := trace.Write(&first); err != nil {
		t.Fatal(err)
	}
	read, err := Read(bytes.NewReader(first.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(read.Requests), len(trace.Requests); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
	if err := read.Write(&second); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Error("the file differs after the trace was read and written again")
	}
}

func TestReadRejectsInvalidTraces(t *testing.T) {
	header := `{"Name":"x","LengthMilliseconds":1000,"Models":[{"Name":"m"}]}` + "\n"
	for _, bad := range []string{
		"",
		`{"Unknown":1}`,
		`{"Name":"x"}`,
		header + `{"Model":1,"TimeoutMilliseconds":1}`,
		header + `{"AtMilliseconds":2000,"TimeoutMilliseconds":1}`,
		header + `{"AtMilliseconds":5,"TimeoutMilliseconds":1}{"AtMilliseconds":4,"TimeoutMilliseconds":1}`,
	} {
		if _, err := Read(strings.NewReader(bad)); err == nil {
			t.Errorf("got no error for %q", bad)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"Name":"x","LengthMilliseconds":1000,"Models":[{"Name":"m"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Read(bytes.NewReader(data))
		if err == nil && trace.validate() != nil {
			t.Error("got a trace that does not pass validate")
		}
	})
}
