package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// chatCall is one decoded chat completion request.
type chatCall struct {
	id      domain.RequestID
	team    configuration.Team
	model   configuration.Model
	adapter domain.AdapterName
	// name is the model and the optional adapter as the caller sent them.
	name     string
	stream   bool
	deadline domain.Deadline
	// content is a hash of the model and the messages, equal for all retries.
	content [32]byte
	// traits are the beginnings of the conversation that others may share, see beginnings.
	traits []suspects.Trait
	// body is passed to the engine unchanged, with all fields that this node does not
	// read.
	body []byte
}

// chatWire holds the fields of a request body that the node reads.
type chatWire struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

func (a *API) decodeChat(ctx context.Context, r *http.Request) (any, error) {
	now := time.Now()
	team, err := a.authenticate(now, r.Header.Get("Authorization"))
	if err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(now, r.Header.Get(requestTimeoutHeader), a.Catalogue.Deployment())
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if err := a.checkTimeToFinish(deadline); err != nil {
		return nil, err
	}
	wire, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	call := &chatCall{
		id: requestIDFrom(ctx), team: team, name: wire.Model, stream: wire.Stream,
		deadline: deadline, content: contentHash(wire), traits: beginnings(wire), body: body,
	}
	if err := a.resolveModel(call); err != nil {
		return nil, err
	}
	traceFrom(ctx).recordAdmission(team.Name, call.model.Name, deadline)
	return call, nil
}

// parseChat reads and checks the fields that the node needs; the engine validates the
// rest.
func parseChat(body []byte) (chatWire, error) {
	var w chatWire
	if err := json.Unmarshal(body, &w); err != nil {
		return w, &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "the body is not a JSON chat request", Cause: err,
		}
	}
	if w.Model == "" {
		return w, verdict.Refuse(verdict.BadRequest, "the body names no model")
	}
	messages := bytes.TrimSpace(w.Messages)
	if len(messages) < 2 || messages[0] != '[' || len(bytes.TrimSpace(messages[1:len(messages)-1])) == 0 {
		return w, verdict.Refuse(verdict.BadRequest, "messages must be a list that is not empty")
	}
	return w, nil
}

// contentHash hashes the model and the messages. It ignores white space and fields that
// are not part of the prompt.
func contentHash(w chatWire) [32]byte {
	var b bytes.Buffer
	b.WriteString(w.Model)
	b.WriteByte(0)
	if err := json.Compact(&b, w.Messages); err != nil {
		b.Write(w.Messages)
	}
	return sha256.Sum256(b.Bytes())
}

// maximumBeginnings bounds the beginnings of a conversation that count as traits.
const maximumBeginnings = 64

// beginnings returns a trait for each beginning of the conversation without its last message:
// the first message, the first two, and so on. It ignores white space, and the model.
func beginnings(w chatWire) []suspects.Trait {
	var messages []json.RawMessage
	if err := json.Unmarshal(w.Messages, &messages); err != nil {
		// The engine rejects the request.
		return nil
	}
	var traits []suspects.Trait
	var b bytes.Buffer
	hash := xxhash.New()
	for _, m := range messages[:min(max(0, len(messages)-1), maximumBeginnings)] {
		b.Reset()
		if err := json.Compact(&b, m); err != nil {
			return nil
		}
		b.WriteByte(0)
		_, _ = hash.Write(b.Bytes())
		traits = append(traits, suspects.Trait(hash.Sum64()))
	}
	return traits
}

// resolveModel finds the call's model and adapter. It refuses a call whose team may not
// use the model, and one whose model is paused or whose content is quarantined.
func (a *API) resolveModel(c *chatCall) error {
	modelName, adapterName, _ := strings.Cut(c.name, ":")
	model, ok := a.Catalogue.Model(domain.ModelName(modelName))
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "no such model is configured")
	}
	if !canUse(c.team, model.Name) {
		return verdict.Refuse(verdict.Forbidden, "the team may not use this model")
	}
	if adapterName != "" {
		if _, ok := a.Catalogue.Adapter(model.Name, domain.AdapterName(adapterName)); !ok {
			return verdict.Refuse(verdict.UnknownModel, "no such adapter is configured for the model")
		}
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if a.Catalogue.IsQuarantined(c.content) {
		return verdict.Refuse(verdict.Quarantined, "an operator blocked this request, because it crashed backend servers")
	}
	c.model, c.adapter = model, domain.AdapterName(adapterName)
	return nil
}

func canUse(t configuration.Team, m domain.ModelName) bool {
	return len(t.Models) == 0 || slices.Contains(t.Models, m)
}
