package standin

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Faults is the body of POST /Faults. Absent fields leave the current fault unchanged.
type Faults struct {
	Log         *LogFaults
	WeightStore *WeightStoreFaults
	VMList      *VMListFaults
	Engines     []EngineFaults
	Services    []ServiceFaults
	VMs         []VMFaults
}

// LogFaults are the faults of the platform's log.
type LogFaults struct {
	Down              *bool
	DelayMilliseconds *int
	// LoseAnswers is the fraction of appends that take effect but get no response.
	LoseAnswers      *float64
	AppendsPerSecond *float64
	// RetainRecords is the number of records that a stream keeps.
	RetainRecords     *int
	SilentConnections bool
}

// WeightStoreFaults are the faults of the weight store.
type WeightStoreFaults struct {
	// Slowdown divides the transfer speed.
	Slowdown *float64
}

// VMListFaults are the faults of the VM list.
type VMListFaults struct {
	LagMilliseconds   *int
	SilentConnections bool
}

// EngineFaults are the faults of one engine. Engine is its URL or VM ID.
type EngineFaults struct {
	Engine                string
	Paused                *bool
	Crash                 bool
	PoisonPrompt          *string
	SilentConnections     bool
	ReportLagMilliseconds *int
	// Pace multiplies the token rate; 0.5 halves it.
	Pace *float64
	// IgnoreOrdersMilliseconds delays each order before the engine checks its fencing
	// token and executes it.
	IgnoreOrdersMilliseconds *int
	// CacheEventLagMilliseconds delays cache events, and LoseCacheEvents is the fraction
	// of them that is never reported.
	CacheEventLagMilliseconds *int
	LoseCacheEvents           *float64
}

// ServiceFaults are the faults of one service. Service is its URL or VM ID.
type ServiceFaults struct {
	Service string
	Paused  *bool
	Crash   bool
	// DelayMilliseconds delays responses. A command has run before the delay; a read is
	// run after it.
	DelayMilliseconds *int
	// LoseAnswers is the fraction of commands that run but get no response.
	LoseAnswers       *float64
	SilentConnections bool
}

// VMFaults are the faults of one VM on the VM list.
type VMFaults struct {
	ID      string
	Leaving *bool
	// Reclaimed stops the backend server and removes the VM from the list permanently.
	Reclaimed bool
}

const maximumMilliseconds = 24 * 60 * 60 * 1000

func decodeFaults(data []byte) (Faults, error) {
	var f Faults
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Faults{}, errors.WithStack(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Faults{}, errors.New("more than one object")
	}
	return f, f.validate()
}

func (f Faults) validate() error {
	if l := f.Log; l != nil {
		if err := requireAll(isFraction(l.LoseAnswers), isValidDelay(l.DelayMilliseconds),
			isPositive(l.AppendsPerSecond), isPositiveCount(l.RetainRecords)); err != nil {
			return errors.WithMessage(err, "Log")
		}
	}
	if s := f.WeightStore; s != nil && !isPositive(s.Slowdown) {
		return errors.New("WeightStore: Slowdown must be above 0")
	}
	if v := f.VMList; v != nil && !isValidDelay(v.LagMilliseconds) {
		return errors.New("VMList: LagMilliseconds is out of range")
	}
	for _, e := range f.Engines {
		if err := requireAll(isPositive(e.Pace), isValidDelay(e.ReportLagMilliseconds),
			isValidDelay(e.IgnoreOrdersMilliseconds), isValidDelay(e.CacheEventLagMilliseconds),
			isFraction(e.LoseCacheEvents)); err != nil {
			return errors.WithMessagef(err, "engine %.80q", e.Engine)
		}
	}
	for _, s := range f.Services {
		if err := requireAll(isFraction(s.LoseAnswers), isValidDelay(s.DelayMilliseconds)); err != nil {
			return errors.WithMessagef(err, "service %.80q", s.Service)
		}
	}
	return nil
}

func requireAll(valid ...bool) error {
	for _, v := range valid {
		if !v {
			return errors.New("a number is out of range")
		}
	}
	return nil
}

func isFraction(v *float64) bool  { return v == nil || (*v >= 0 && *v <= 1) }
func isPositive(v *float64) bool  { return v == nil || *v > 0 }
func isPositiveCount(v *int) bool { return v == nil || *v > 0 }
func isValidDelay(v *int) bool    { return v == nil || (*v >= 0 && *v <= maximumMilliseconds) }
