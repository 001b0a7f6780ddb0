// Package objective measures service-level objectives per team and model and reports the
// burn rate of each error budget.
//
// The node records an Event for each finished request in a Recorder. The administration
// API merges the snapshots of all nodes into one Report. The package rejects no request
// and reads no clock: every function takes the time as an argument.
package objective

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Measure is the quantity that an objective bounds.
type Measure int

// Outcome is the way in which a request ended.
type Outcome int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Measure,Outcome,Alert -output=objective_string.go

// The measures.
const (
	// FirstToken is the time to the first token of answered requests whose model was
	// loaded.
	FirstToken Measure = iota
	// BetweenTokens is the time between streamed tokens.
	BetweenTokens
	// InTime is whether a request was answered, or refused in time. It covers all requests
	// except those cancelled by their caller. The outcomes Answered and
	// RefusedInTime meet the objective.
	InTime
	// ColdStart is the time to the first token of answered requests that waited for a
	// load.
	ColdStart

	measureCount = iota
)

// Measures returns every measure.
func Measures() []Measure { return []Measure{FirstToken, BetweenTokens, InTime, ColdStart} }

// The outcomes.
const (
	// Answered requests got their whole response.
	Answered Outcome = iota
	// RefusedInTime requests got a refusal before their deadline.
	RefusedInTime
	// RefusedLate requests got a refusal after their deadline.
	RefusedLate
	// Broken requests got no response or a part of one.
	Broken
	// CallerLeft requests were cancelled by their caller and are not counted.
	CallerLeft
)

// Alert is the urgency of a burn.
type Alert int

// The alerts.
const (
	// Quiet means that neither alert condition holds.
	Quiet Alert = iota
	// SlowBurn means that the budget is spent by the end of the longest window. It needs
	// action within the day.
	SlowBurn
	// FastBurn means that the budget is spent within hours. It should page an operator.
	FastBurn
)

// Goal is the objective for one measure.
type Goal struct {
	// Within is the latency bound of one event. It is zero for InTime, whose bound is
	// the caller's deadline.
	Within time.Duration
	// Share is the fraction of events that must meet the bound, below 1.
	Share float64
}

// Default latency bounds, as agreed with the teams.
const (
	FirstTokenBound    = 1600 * time.Millisecond
	BetweenTokensBound = 40 * time.Millisecond
	ColdStartBound     = 15 * time.Second
)

// DefaultGoal returns the goal of a measure where none is configured.
func DefaultGoal(m Measure) Goal {
	switch m {
	case FirstToken:
		return Goal{Within: FirstTokenBound, Share: 0.99}
	case BetweenTokens:
		return Goal{Within: BetweenTokensBound, Share: 0.99}
	case ColdStart:
		return Goal{Within: ColdStartBound, Share: 0.95}
	case InTime:
	}
	return Goal{Share: 0.999}
}

// Event is one finished request.
type Event struct {
	Team  domain.TeamName
	Model domain.ModelName
	// At is the time at which the request ended.
	At      time.Time
	Outcome Outcome
	// FirstToken is the time to the first token, or zero for a response without tokens.
	// It is counted only for answered requests.
	FirstToken time.Duration
	// BetweenTokens holds the times between consecutive tokens.
	BetweenTokens []time.Duration
	// Cold is set where the request waited for a load of the model.
	Cold bool
}

// Key identifies one series.
type Key struct {
	Team  domain.TeamName
	Model domain.ModelName
}

// Other is the team and model of the overflow series and histogram, used when a recorder
// is full.
const Other = "other"

// Bounds on the memory of a recorder.
const (
	// MaximumSeries bounds the pairs of team and model with counters, the overflow
	// series included.
	MaximumSeries = 1024
	// MaximumHistograms bounds the models with histograms, the overflow histogram
	// included.
	MaximumHistograms = 256
)

// Window is one sliding period over which a burn is measured.
type Window struct {
	Length time.Duration
	// Step is the length of one bucket, a divisor of Length.
	Step time.Duration
}

// Windows returns the windows, the shortest first.
func Windows() []Window {
	return []Window{
		{Length: 5 * time.Minute, Step: 30 * time.Second},
		{Length: time.Hour, Step: 5 * time.Minute},
		{Length: 6 * time.Hour, Step: 30 * time.Minute},
		{Length: 72 * time.Hour, Step: 6 * time.Hour},
	}
}

const windowCount = 4
