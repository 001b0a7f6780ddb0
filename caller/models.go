package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
)

// modelsWire is the OpenAI-compatible list of models.
type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) decodeModels(_ context.Context, r *http.Request) (any, error) {
	return a.authenticate(time.Now(), r.Header.Get("Authorization"))
}

// models lists the models and adapters that the caller's team may use.
func (a *API) models(_ context.Context, request any) (any, error) {
	team, _ := request.(configuration.Team)
	list := modelsWire{Object: "list", Data: []modelWire{}}
	for _, m := range a.Catalogue.Models() {
		if canUse(team, m.Name) {
			list.Data = append(list.Data, newModelWire(string(m.Name)))
		}
	}
	for _, d := range a.Catalogue.Adapters() {
		if canUse(team, d.Model) {
			list.Data = append(list.Data, newModelWire(string(d.Model)+":"+string(d.Name)))
		}
	}
	return list, nil
}

func newModelWire(id string) modelWire {
	return modelWire{ID: id, Object: "model", OwnedBy: "parsleylug"}
}
