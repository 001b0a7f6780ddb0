package engine

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

type wireOrder struct {
	Order       string
	Fence       uint64
	Model       string
	Adapter     string
	Version     string
	MemoryBytes int64
}

type wireOrderResponse struct {
	Status      string
	NewestFence uint64
}

type wireState struct {
	Incarnation string
	MemoryBytes int64
	UsedBytes   int64
	Replicas    []wireReplica
	DiskCache   []string
	MemoryCache []string
}

type wireReplica struct {
	Model       string
	Version     string
	MemoryBytes int64
	Loading     bool
	Running     int
	Waiting     int
	Served      uint64
	Adapters    []string
}

type wireToken struct {
	Attempt          string
	Index            int64
	Text             string
	Finish           string
	PromptTokens     int64
	CompletionTokens int64
}

type wireRefusal struct{ Error string }

func encodeOrder(o Order) ([]byte, error) {
	data, err := json.Marshal(wireOrder{
		Order:       o.Kind.String(),
		Fence:       uint64(o.Fence),
		Model:       string(o.Model),
		Adapter:     string(o.Adapter),
		Version:     string(o.Version),
		MemoryBytes: int64(o.Memory),
	})
	return data, errors.WithStack(err)
}

func decodeOrderResponse(data []byte) (OrderStatus, error) {
	var w wireOrderResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return Unclear, malformedResponse(err)
	}
	for s := Done; s <= FailedLoad; s++ {
		if s.String() == w.Status {
			return s, nil
		}
	}
	return Unclear, malformedResponse(errors.Errorf("unknown order status %.40q", w.Status))
}

func decodeState(data []byte) (State, error) {
	var w wireState
	if err := json.Unmarshal(data, &w); err != nil {
		return State{}, malformedResponse(err)
	}
	if w.Incarnation == "" {
		return State{}, malformedResponse(errors.New("state without an incarnation"))
	}
	s := State{
		Incarnation: w.Incarnation,
		Memory:      domain.Bytes(w.MemoryBytes),
		UsedMemory:  domain.Bytes(w.UsedBytes),
		DiskCache:   convertNames[domain.ModelName](w.DiskCache),
		MemoryCache: convertNames[domain.ModelName](w.MemoryCache),
	}
	for _, r := range w.Replicas {
		replica, err := r.decode()
		if err != nil {
			return State{}, err
		}
		s.Replicas = append(s.Replicas, replica)
	}
	return s, nil
}

func (w wireReplica) decode() (Replica, error) {
	if w.Model == "" || w.MemoryBytes < 0 || w.Running < 0 || w.Waiting < 0 {
		return Replica{}, malformedResponse(errors.New("replica without a model or with a negative count"))
	}
	return Replica{
		Model:    domain.ModelName(w.Model),
		Version:  domain.VersionName(w.Version),
		Memory:   domain.Bytes(w.MemoryBytes),
		Loading:  w.Loading,
		Running:  w.Running,
		Waiting:  w.Waiting,
		Served:   w.Served,
		Adapters: convertNames[domain.AdapterName](w.Adapters),
	}, nil
}

func decodeToken(data []byte) (Token, error) {
	var w wireToken
	if err := json.Unmarshal(data, &w); err != nil {
		return Token{}, errors.WithStack(err)
	}
	if w.Index < 0 || w.PromptTokens < 0 || w.CompletionTokens < 0 {
		return Token{}, errors.New("token with a negative count")
	}
	return Token{
		AttemptID:        domain.AttemptID(w.Attempt),
		Index:            domain.Tokens(w.Index),
		Text:             w.Text,
		FinishReason:     w.Finish,
		PromptTokens:     domain.Tokens(w.PromptTokens),
		CompletionTokens: domain.Tokens(w.CompletionTokens),
	}, nil
}

// eventData returns the data of one line of an event stream; ok is false for comments, blank
// lines and other fields.
func eventData(line []byte) (data []byte, ok bool) {
	data, ok = bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
	return bytes.TrimPrefix(data, []byte(" ")), ok
}

// convertNames converts strings to names; the result is never nil.
func convertNames[T ~string](names []string) []T {
	out := make([]T, 0, len(names))
	for _, n := range names {
		out = append(out, T(n))
	}
	return slices.Clip(out)
}

// malformedResponse returns an error for a response that cannot be decoded; the request may
// have run.
func malformedResponse(err error) *verdict.Error {
	return verdict.UnknownOutcome(verdict.BackendFailed, "the engine's answer cannot be understood", errors.WithStack(err))
}
