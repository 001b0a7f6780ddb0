// Package settings holds what a node is told when it starts, by flags and
// environment variables, and checks all of it at once.
package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/tlsfiles"
)

// Settings are the flags of a node as they were given. They are text, so that
// Values can report every fault at once. Each flag is also read from the
// environment, as PARSLEYLUG_ and the flag's name in capitals.
type Settings struct {
	LogURL          string `name:"log-url" help:"URL of the platform's log. Without the URLs the node starts stand-ins of its own." placeholder:"URL"`
	WeightStoreURL  string `name:"weight-store-url" help:"URL of the weight store; engines load from it, nodes only pace the loads." placeholder:"URL"`
	VMListURL       string `name:"vm-list-url" help:"URL of the platform's list of VMs." placeholder:"URL"`
	Listen          string `help:"IP:PORT for callers." default:"127.0.0.1:8080"`
	PeerListen      string `help:"IP:PORT for other nodes, as they can reach it." default:"127.0.0.1:0"`
	AdminListen     string `help:"IP:PORT for operators, health and metrics." default:"127.0.0.1:8081"`
	Region          string `help:"Region of this VM." default:"brisbane"`
	Zone            string `help:"Availability zone of this VM." default:"brisbane-a"`
	Config          string `help:"Operator configuration for stand-ins of its own; the sample without it." placeholder:"FILE"`
	TLSCertificate  string `name:"tls-certificate" help:"PEM certificate for callers and operators; TLS is off without it." placeholder:"FILE"`
	TLSKey          string `name:"tls-key" help:"PEM key of --tls-certificate." placeholder:"FILE"`
	PeerCertificate string `name:"peer-certificate" help:"PEM certificate for links between nodes; TLS is off there without it." placeholder:"FILE"`
	PeerKey         string `name:"peer-key" help:"PEM key of --peer-certificate." placeholder:"FILE"`
	PeerAuthority   string `name:"peer-authority" help:"PEM certificates that every node's certificate chains to." placeholder:"FILE"`
	KeepAlive       string `help:"How long an idle replica stays loaded at most; 0s means for good." default:"24h"`
	DrainGrace      string `help:"How long a stopping node still takes requests, so that the balancer sees it first." default:"2s"`
	DrainLimit      string `help:"How long a stop waits for running requests." default:"5m"`
	LogLevel        string `help:"Lowest level logged: debug, info, warn or error." default:"info"`
}

// Values are checked settings.
type Values struct {
	// Embedded is true where the node starts stand-ins of its own; the URLs are
	// empty then.
	Embedded                          bool
	LogURL, WeightStoreURL, VMListURL string
	Listen, PeerListen, AdminListen   netip.AddrPort
	Region                            domain.Region
	Zone                              domain.Zone
	// Config is a configuration file for the stand-ins, or empty.
	Config string
	// TLS is for callers and operators, PeerTLS for links between nodes.
	TLS, PeerTLS                      tlsfiles.Files
	KeepAlive, DrainGrace, DrainLimit time.Duration
	LogLevel                          zerolog.Level
}

// Fault is one setting that cannot be used.
type Fault struct {
	// Flag is the flag's name without dashes.
	Flag    string
	Message string
}

// Faults is an error that holds every fault found.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = "--" + one.Flag + " (" + EnvironmentName(one.Flag) + ") " + one.Message
	}
	return strings.Join(lines, "\n")
}

// EnvironmentPrefix starts the name of every environment variable.
const EnvironmentPrefix = "PARSLEYLUG"

// EnvironmentName returns the environment variable of a flag.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// maximumDuration bounds every duration.
const maximumDuration = 24 * time.Hour

// checker gathers faults.
type checker struct{ faults Faults }

func (c *checker) add(flag, message string) {
	c.faults = append(c.faults, Fault{Flag: flag, Message: message})
}

// Values checks the settings. Its error is a Faults that holds everything wrong.
func (s Settings) Values() (Values, error) {
	c := &checker{}
	v := Values{
		Listen:      c.address("listen", s.Listen),
		PeerListen:  c.address("peer-listen", s.PeerListen),
		AdminListen: c.address("admin-listen", s.AdminListen),
		Region:      domain.Region(c.name("region", s.Region)),
		Zone:        domain.Zone(c.name("zone", s.Zone)),
		Config:      s.Config,
		KeepAlive:   c.duration("keep-alive", s.KeepAlive),
		DrainGrace:  c.duration("drain-grace", s.DrainGrace),
		DrainLimit:  c.duration("drain-limit", s.DrainLimit),
		LogLevel:    c.level("log-level", s.LogLevel),
	}
	c.tls(s, &v)
	c.platform(s, &v)
	c.distinct(v)
	if len(c.faults) > 0 {
		return Values{}, c.faults
	}
	return v, nil
}

// tls checks that the files of each kind of certificate are named together.
func (c *checker) tls(s Settings, v *Values) {
	v.TLS = tlsfiles.Files{Certificate: s.TLSCertificate, Key: s.TLSKey}
	v.PeerTLS = tlsfiles.Files{Certificate: s.PeerCertificate, Key: s.PeerKey, Authority: s.PeerAuthority}
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		c.add("tls-certificate", "goes with --tls-key")
	}
	if !v.PeerTLS.IsZero() && (s.PeerCertificate == "" || s.PeerKey == "" || s.PeerAuthority == "") {
		c.add("peer-certificate", "goes with --peer-key and --peer-authority")
	}
}

// platform checks the URLs, which are given together or not at all. Nodes do
// without that of the weight store, since engines load from it.
func (c *checker) platform(s Settings, v *Values) {
	given := 0
	for _, u := range []string{s.LogURL, s.WeightStoreURL, s.VMListURL} {
		if u != "" {
			given++
		}
	}
	if given == 0 {
		v.Embedded = true
		return
	}
	v.LogURL = c.url("log-url", s.LogURL)
	v.VMListURL = c.url("vm-list-url", s.VMListURL)
	if s.WeightStoreURL != "" {
		v.WeightStoreURL = c.url("weight-store-url", s.WeightStoreURL)
	}
	if s.Config != "" {
		c.add("config", "is for a node with stand-ins of its own; use parsleylug config apply")
	}
	if v.PeerListen.IsValid() && v.PeerListen.Addr().IsUnspecified() {
		c.add("peer-listen", "must be an IP that other nodes can reach")
	}
}

func (c *checker) url(flag, text string) string {
	if text == "" {
		c.add(flag, "must be given where another URL is")
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(flag, "must be a URL such as http://10.0.0.1:9000")
	}
	return strings.TrimSuffix(text, "/")
}

func (c *checker) address(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		c.add(flag, "must be IP:PORT, with the IP as a number")
	}
	return a
}

// distinct reports listeners that would take the same address.
func (c *checker) distinct(v Values) {
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		flag    string
		address netip.AddrPort
	}{{"listen", v.Listen}, {"peer-listen", v.PeerListen}, {"admin-listen", v.AdminListen}} {
		if !l.address.IsValid() || l.address.Port() == 0 {
			continue
		}
		if other, ok := seen[l.address]; ok {
			c.add(l.flag, "is the same address as --"+other)
		}
		seen[l.address] = l.flag
	}
}

func (c *checker) name(flag, text string) string {
	if !configuration.ValidName(text) {
		c.add(flag, "must be 1 to 128 letters, digits, '.', '_' or '-'")
	}
	return text
}

func (c *checker) duration(flag, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maximumDuration {
		c.add(flag, "must be a duration such as 30s, at most "+maximumDuration.String())
	}
	return d
}

func (c *checker) level(flag, text string) zerolog.Level {
	for _, l := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
		if l.String() == text {
			return l
		}
	}
	c.add(flag, "must be debug, info, warn or error")
	return zerolog.InfoLevel
}

// AsFaults returns the faults in err's chain.
func AsFaults(err error) (Faults, bool) {
	var f Faults
	ok := errors.As(err, &f)
	return f, ok
}
