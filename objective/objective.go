// Package objective measures how well requests keep their service-level
// objectives, per team and model, and reports how fast each error budget burns.
// It has no clock: every function is given the time.
package objective

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Measure is one thing that is promised.
type Measure int

// Outcome is how a request ended.
type Outcome int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Measure,Outcome,Alert -output=objective_string.go

// The measures.
const (
	// FirstToken counts answered requests on loaded models.
	FirstToken Measure = iota
	// BetweenTokens counts the gaps between streamed tokens.
	BetweenTokens
	// InTime counts all requests: good ones were answered or refused within
	// their deadline, and whole.
	InTime
	// ColdStart counts answered requests that had to wait for a load.
	ColdStart

	// measures is how many there are.
	measures = iota
)

// Measures returns every measure.
func Measures() []Measure { return []Measure{FirstToken, BetweenTokens, InTime, ColdStart} }

// The outcomes.
const (
	// Answered requests got their whole answer.
	Answered Outcome = iota
	// RefusedInTime requests got a refusal before their deadline.
	RefusedInTime
	// RefusedLate requests got a refusal after their deadline.
	RefusedLate
	// Broken requests got no answer, or a part of one.
	Broken
	// CallerLeft requests were given up by their caller; they count for nothing.
	CallerLeft
)

// Alert is how urgent a burn is.
type Alert int

// The alerts.
const (
	// Quiet budgets last.
	Quiet Alert = iota
	// SlowBurn spends the budget before the end of the longest window.
	SlowBurn
	// FastBurn spends the budget within hours: wake someone.
	FastBurn
)

// Goal is the promise for one measure.
type Goal struct {
	// Within is the bound of one event; zero for InTime, whose bound is the
	// caller's deadline.
	Within time.Duration
	// Share is the part of events that must keep the bound, below 1.
	Share float64
}

// Bounds that the deployments agreed with their teams.
const (
	FirstTokenBound    = 1600 * time.Millisecond
	BetweenTokensBound = 40 * time.Millisecond
	ColdStartBound     = 15 * time.Second
)

// DefaultGoal returns the goal of a measure where none is set.
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
	// At is when the request ended.
	At      time.Time
	Outcome Outcome
	// FirstToken is the wait for the first token; it counts only for answered
	// requests, and is zero for those without tokens.
	FirstToken time.Duration
	// BetweenTokens are the gaps between the tokens after the first.
	BetweenTokens []time.Duration
	// Cold is true where the model had to be loaded for the request.
	Cold bool
}

// Key names one series.
type Key struct {
	Team  domain.TeamName
	Model domain.ModelName
}

// Other is the series of teams and models that found no room for their own.
const Other = "other"

// Bounds on what a recorder holds, whatever callers send.
const (
	// MaximumSeries is how many pairs of team and model have counters of their
	// own.
	MaximumSeries = 1024
	// MaximumHistograms is how many models have histograms of their own.
	MaximumHistograms = 256
)

// Window is one period over which a burn is measured.
type Window struct {
	// Length is the period.
	Length time.Duration
	// Step is the length of one bucket; it divides Length.
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

// windows is how many windows there are.
const windows = 4
