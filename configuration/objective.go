package configuration

import (
	"fmt"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/objective"
)

// Objective is a service-level objective of a team that differs from the default.
type Objective struct {
	// Model is the model that the objective applies to; empty means every model and
	// service.
	Model   domain.ModelName
	Measure objective.Measure
	// Within is the time limit of one event. It is 0 for InTime, whose limit is the
	// request's deadline.
	Within time.Duration
	// Share is the fraction of events that must meet the limit, between 0 and 1.
	Share float64
}

// Goal returns the goal of a measure for one model. The team's objective for the model
// precedes its objective for every model, which precedes the default goal.
func (t Team) Goal(n domain.ModelName, m objective.Measure) objective.Goal {
	goal := objective.DefaultGoal(m)
	for _, o := range t.Objectives {
		if o.Measure != m {
			continue
		}
		if o.Model == n {
			return objective.Goal{Within: o.Within, Share: o.Share}
		}
		if o.Model == "" {
			goal = objective.Goal{Within: o.Within, Share: o.Share}
		}
	}
	return goal
}

func readObjectives(r *objectReader) []Objective {
	var out []Objective
	for i, n := range r.list("Objectives") {
		inner := r.decoder.newReader(n, fmt.Sprintf("%s[%d]", r.fieldPath("Objectives"), i))
		if inner == nil {
			continue
		}
		out = append(out, readObjective(inner))
		inner.reportUnknownFields()
	}
	return out
}

func readObjective(r *objectReader) Objective {
	o := Objective{
		Model:   domain.ModelName(r.name("Model", false)),
		Measure: readMeasure(r),
		Within:  r.milliseconds("WithinMilliseconds"),
		Share:   r.nonNegative("Share"),
	}
	if o.Share <= 0 || o.Share >= 1 {
		r.addFault(r.peek("Share"), "Share", "must be between 0 and 1", "for example 0.99")
	}
	if (o.Within == 0) != (o.Measure == objective.InTime) {
		r.addFault(r.peek("WithinMilliseconds"), "WithinMilliseconds", "must be given for every measure but InTime", "")
	}
	return o
}

func readMeasure(r *objectReader) objective.Measure {
	s := r.text("Measure")
	var names []string
	for _, m := range objective.Measures() {
		if m.String() == s {
			return m
		}
		names = append(names, m.String())
	}
	suggestion := ""
	if near := closestName(s, names); near != "" {
		suggestion = fmt.Sprintf("did you mean %q?", near)
	}
	r.addFault(r.peek("Measure"), "Measure", "must be FirstToken, BetweenTokens, InTime or ColdStart", suggestion)
	return objective.FirstToken
}

type wireObjective struct {
	Model              string `json:",omitempty"`
	Measure            string
	WithinMilliseconds int64 `json:",omitempty"`
	Share              float64
}

func wireOfObjectives(objectives []Objective) []wireObjective {
	var out []wireObjective
	for _, o := range objectives {
		out = append(out, wireObjective{
			Model:              string(o.Model),
			Measure:            o.Measure.String(),
			WithinMilliseconds: o.Within.Milliseconds(),
			Share:              o.Share,
		})
	}
	return out
}
