package commands

import (
	"context"
	"encoding/json"
	"net"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/standin"
)

// StandinCommand runs the stand-ins for the platform and the backend servers as a separate
// process.
type StandinCommand struct {
	ListenIP      string        `help:"IP that the stand-ins listen on." default:"127.0.0.1"`
	Engines       int           `help:"Number of model engines." default:"2"`
	Services      int           `help:"Number of booking services." default:"1"`
	Seed          uint64        `help:"Seed of the random choices." default:"1"`
	Config        string        `help:"Initial operator configuration; the sample without it." placeholder:"FILE"`
	LoadTime      time.Duration `help:"Time that 16 GiB take from the weight store at full speed." default:"1500ms"`
	TokenInterval time.Duration `help:"Time between two tokens of an answer." default:"10ms"`
	EngineMemory  string        `help:"Memory of each engine." default:"64GiB"`
	ChecksFences  []string      `help:"Which engines refuse old fencing numbers: all, none, alternate, or true and false for one engine after the other." default:"all"`
	EnforceMemory bool          `help:"Let engines refuse loads that do not fit."`

	options standin.Options
}

// Validate parses the flags and the configuration file into options. Kong calls it while
// it parses the command line, so that faults in them are reported as usage errors.
func (c *StandinCommand) Validate() error {
	if net.ParseIP(c.ListenIP) == nil {
		return errors.Errorf("--listen-ip: %q is not an IP number", c.ListenIP)
	}
	if c.Engines < 1 || c.Services < 1 {
		return errors.New("--engines and --services must be 1 or more")
	}
	if c.LoadTime <= 0 || c.TokenInterval <= 0 {
		return errors.New("--load-time and --token-interval must be above 0")
	}
	memory, err := configuration.ParseBytes(c.EngineMemory)
	if err != nil || memory <= 0 {
		return errors.Errorf("--engine-memory: %q is not a size such as 64GiB", c.EngineMemory)
	}
	checksFences, err := parseChecksFences(c.ChecksFences)
	if err != nil {
		return err
	}
	records, err := initialRecords(c.Config)
	if err != nil {
		return err
	}
	c.options = standin.Options{
		ListenIP:             c.ListenIP,
		Engines:              c.Engines,
		Services:             c.Services,
		Seed:                 c.Seed,
		ConfigurationRecords: records,
		DecodeCopies:         copyLimitChange,
		LoadTime:             c.LoadTime,
		TokenInterval:        c.TokenInterval,
		EngineMemory:         memory,
		ChecksFences:         checksFences,
		EnforceMemory:        c.EnforceMemory,
	}
	return nil
}

// parseChecksFences parses --checks-fences into one value per engine; the list is repeated
// if there are more engines.
func parseChecksFences(values []string) ([]bool, error) {
	if len(values) == 1 {
		switch values[0] {
		case "all":
			return []bool{true}, nil
		case "none":
			return []bool{false}, nil
		case "alternate":
			return []bool{true, false}, nil
		}
	}
	checksFences := make([]bool, 0, len(values))
	for _, v := range values {
		checks, err := strconv.ParseBool(v)
		if err != nil {
			return nil, errors.Errorf("--checks-fences: %q is not all, none, alternate, true or false", v)
		}
		checksFences = append(checksFences, checks)
	}
	return checksFences, nil
}

// copyLimitChange returns the copy limit of a model that an operator record sets, which is 0
// if the record removes the model. Ok is false for other records.
func copyLimitChange(raw []byte) (model string, limit int, ok bool) {
	r, err := configuration.Decode(raw)
	switch {
	case err != nil:
		return "", 0, false
	case r.Model != nil:
		return string(r.Model.Name), int(r.Model.Copies), true
	case r.Remove != nil && r.Remove.Kind == configuration.KindModel:
		return r.Remove.Name, 0, true
	}
	return "", 0, false
}

// readyLine is the JSON line that is printed once the stand-ins are ready.
type readyLine struct {
	LogURL         string
	WeightStoreURL string
	VMListURL      string
	EngineURLs     []string
	ServiceURLs    []string
	ControlURL     string
}

// Run serves until SIGTERM or SIGINT.
func (c *StandinCommand) Run(d *Deps) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, err := standin.Start(ctx, c.options)
	if err != nil {
		return errors.WithMessage(err, "start the stand-ins")
	}
	defer group.Close()
	ready := readyLine{
		LogURL:         group.LogURL,
		WeightStoreURL: group.WeightStoreURL,
		VMListURL:      group.VMListURL,
		EngineURLs:     group.EngineURLs,
		ServiceURLs:    group.ServiceURLs,
		ControlURL:     group.ControlURL,
	}
	if err := json.NewEncoder(d.Out).Encode(ready); err != nil {
		return errors.Wrap(err, "print the addresses")
	}
	<-ctx.Done()
	return nil
}
