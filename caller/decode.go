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

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// chatCall is one decoded chat completion request.
type chatCall struct {
	id      domain.RequestID
	team    configuration.Team
	model   configuration.Model
	adapter domain.AdapterName
	// name is the model as the caller wrote it.
	name     string
	stream   bool
	deadline domain.Deadline
	// content is a hash of model and messages, the same for every resend.
	content [32]byte
	// body is unchanged, with fields that this node does not know.
	body []byte
}

// chatWire holds the fields of a body that a node reads.
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
	due, err := deadline(now, r.Header.Get(requestTimeoutHeader), a.Catalogue.Deployment())
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	wire, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	call := &chatCall{
		id: requestOf(ctx), team: team, name: wire.Model, stream: wire.Stream,
		deadline: due, content: contentHash(wire), body: body,
	}
	if err := a.resolveModel(call); err != nil {
		return nil, err
	}
	traceOf(ctx).admitted(team.Name, call.model.Name, due)
	return call, nil
}

// parseChat reads what a node needs of a body; the engine judges the rest.
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

// contentHash leaves out white space and the fields that do not reach the
// model's prompt.
func contentHash(w chatWire) [32]byte {
	var b bytes.Buffer
	b.WriteString(w.Model)
	b.WriteByte(0)
	if err := json.Compact(&b, w.Messages); err != nil {
		b.Write(w.Messages)
	}
	return sha256.Sum256(b.Bytes())
}

// resolveModel looks the call's model and adapter up and checks that the team
// may use them.
func (a *API) resolveModel(c *chatCall) error {
	base, adapter, _ := strings.Cut(c.name, ":")
	model, ok := a.Catalogue.Model(domain.ModelName(base))
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "no such model is configured")
	}
	if !mayUse(c.team, model.Name) {
		return verdict.Refuse(verdict.Forbidden, "the team may not use this model")
	}
	if adapter != "" {
		if _, ok := a.Catalogue.Adapter(model.Name, domain.AdapterName(adapter)); !ok {
			return verdict.Refuse(verdict.UnknownModel, "no such adapter is configured for the model")
		}
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if a.Catalogue.IsQuarantined(c.content) {
		return verdict.Refuse(verdict.Quarantined, "an operator blocked this request, because it crashed backend servers")
	}
	c.model, c.adapter = model, domain.AdapterName(adapter)
	return nil
}

func mayUse(t configuration.Team, m domain.ModelName) bool {
	return len(t.Models) == 0 || slices.Contains(t.Models, m)
}
