package engine

import (
	"testing"

	"github.com/parsleylug/parsleylug/domain"
)

func FuzzDecodeToken(f *testing.F) {
	f.Add([]byte(`{"Attempt":"a1","Index":0,"Text":"You "}`))
	f.Add([]byte(`{"Attempt":"a1","Index":8,"Text":"","Finish":"stop","PromptTokens":3,"CompletionTokens":8}`))
	f.Add([]byte(`{"Index":-1}`))
	f.Add([]byte(`[DONE]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		token, err := decodeToken(data)
		if err == nil && (token.Index < 0 || token.PromptTokens < 0 || token.CompletionTokens < 0) {
			t.Errorf("got %+v, want no negative counts", token)
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"Incarnation":"e-1","MemoryBytes":9,"UsedBytes":3,"Replicas":[{"Model":"m","Version":"v1","MemoryBytes":3,
		"Loading":true,"Running":1,"Waiting":2,"Adapters":["a"]}],"DiskCache":["m"],"MemoryCache":[]}`))
	f.Add([]byte(`{"Incarnation":"e-1","Replicas":[{"Model":""}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState(data)
		if err != nil {
			return
		}
		if s.Incarnation == "" {
			t.Error("got a state without an incarnation")
		}
		for _, r := range s.Replicas {
			if r.Model == "" || r.Memory < 0 || r.Running < 0 || r.Waiting < 0 {
				t.Errorf("got invalid replica %+v", r)
			}
		}
	})
}

func FuzzDecodeOrderResponse(f *testing.F) {
	f.Add([]byte(`{"Status":"Done"}`))
	f.Add([]byte(`{"Status":"RefusedStale","NewestFence":15}`))
	f.Add([]byte(`{"Status":"Unclear"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeOrderResponse(data)
		if (err == nil) != (s != Unclear) {
			t.Errorf("got %v, %v", s, err)
		}
	})
}

func FuzzRefusalCode(f *testing.F) {
	f.Add(404, []byte(`{"Error":"ModelNotLoaded"}`))
	f.Add(500, []byte(`{"Error":"Overloaded"}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		if got := refusalCode(status, data); got != "" && status != 400 && status != 404 && status != 503 {
			t.Errorf("got %q for status %d", got, status)
		}
	})
}

func TestEncodeOrder(t *testing.T) {
	data, err := encodeOrder(Order{Kind: LoadAdapter, Fence: 12, Model: "m", Adapter: "a", Version: "v1", Memory: domain.Gibibyte})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Order":"LoadAdapter","Fence":12,"Model":"m","Adapter":"a","Version":"v1","MemoryBytes":1073741824}`
	if got := string(data); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
