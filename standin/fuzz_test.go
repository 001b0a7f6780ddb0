package standin

import (
	"net/http"
	"testing"
)

func FuzzDecodeFaults(f *testing.F) {
	f.Add([]byte(`{"Log":{"Down":true,"DelayMilliseconds":5,"LoseAnswers":0.5,"AppendsPerSecond":9,"RetainRecords":4},"WeightStore":{"Slowdown":3},
		"VMList":{"LagMilliseconds":1},"Engines":[{"Engine":"engine-1","Paused":true,"Pace":0.5,"PoisonPrompt":"x"}],
		"Services":[{"Service":"service-1","DelayMilliseconds":9}],"VMs":[{"ID":"engine-1","Leaving":true}]}`))
	f.Add([]byte(`{"Log":{"LoseAnswers":-1}}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		faults, err := decodeFaults(data)
		if err == nil && faults.validate() != nil {
			t.Errorf("got %+v, which fails validation", faults)
		}
	})
}

func FuzzDecodeOrder(f *testing.F) {
	f.Add([]byte(`{"Order":"LoadModel","Fence":12,"Model":"m","Version":"v1","MemoryBytes":1}`))
	f.Add([]byte(`{"Order":"Barrier"}`))
	f.Add([]byte(`{"Order":"LoadAdapter","Model":"m"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := decodeOrder(data)
		if err == nil && (o.MemoryBytes < 0 || (o.Order != "Barrier" && o.Model == "")) {
			t.Errorf("got %+v", o)
		}
	})
}

func FuzzDecodeChat(f *testing.F) {
	f.Add("3", "1.5", []byte(`{"model":"m:a","messages":[{"role":"user","content":"x"}]}`))
	f.Add("-1", "NaN", []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":2}`))
	f.Fuzz(func(t *testing.T, resume, timeout string, data []byte) {
		c, err := decodeChat(http.Header{"X-Resume-Token": {resume}, "Request-Timeout": {timeout}}, data)
		if err != nil {
			return
		}
		if c.resumeIndex < 0 || c.timeout < 0 {
			t.Errorf("got %+v", c)
		}
		if tokens, _ := c.prompt.completion(); c.prompt.maxTokens > 0 && len(tokens) > c.prompt.maxTokens {
			t.Errorf("got %d tokens, want at most %d", len(tokens), c.prompt.maxTokens)
		}
	})
}

func FuzzDecodeAppend(f *testing.F) {
	f.Add([]byte(`{"Records":["YQ=="]}`))
	f.Add([]byte(`{"Records":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := decodeAppend(data)
		if err == nil && len(records) == 0 {
			t.Error("got no records and no error")
		}
	})
}

func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add("n1", []byte(`{"ID":"n1","Kind":"Entry","Address":"127.0.0.1:1"}`))
	f.Add("n1", []byte(`{"ID":"n2","Kind":"Engine","Address":"127.0.0.1:1"}`))
	f.Fuzz(func(t *testing.T, id string, data []byte) {
		v, err := decodeAnnouncement(data, id)
		if err == nil && (v.ID != id || v.Kind != "Entry") {
			t.Errorf("got %+v", v)
		}
	})
}
