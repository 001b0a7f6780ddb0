package hub

import (
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/suspects"
)

// wireContent is a suspects.ContentRecord.
type wireContent struct {
	_       struct{} `cbor:",toarray"`
	Content []byte
	Crashes []wireContentCrash
}

type wireContentCrash struct {
	_               struct{} `cbor:",toarray"`
	Server          string
	AgeMilliseconds int64
	Alone, Begun    bool
}

func encodeContents(records []suspects.ContentRecord) []wireContent {
	var w []wireContent
	for i := range records {
		c := wireContent{Content: records[i].Content[:]}
		for _, k := range records[i].Crashes {
			c.Crashes = append(c.Crashes, wireContentCrash{Server: string(k.Server), AgeMilliseconds: k.Age.Milliseconds(), Alone: k.Isolated, Begun: k.AfterToken})
		}
		w = append(w, c)
	}
	return w
}

// decodeContents returns the records without those and without the crashes that are out of range.
func decodeContents(w []wireContent) []suspects.ContentRecord {
	var records []suspects.ContentRecord
	for _, c := range w {
		var r suspects.ContentRecord
		if len(c.Content) != len(r.Content) {
			continue
		}
		copy(r.Content[:], c.Content)
		for _, k := range c.Crashes {
			if age, ok := decodeAge(k.AgeMilliseconds); ok && k.Server != "" {
				r.Crashes = append(r.Crashes, suspects.ContentCrash{Server: domain.ServerID(k.Server), Age: age, Isolated: k.Alone, AfterToken: k.Begun})
			}
		}
		records = append(records, r)
	}
	return records
}
