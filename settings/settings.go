// Package settings defines and validates the startup settings of a node, which are given as
// flags or environment variables. The commands serve and settings embed Settings in their
// flags and call Parse, which reports every fault at once. The package opens no files and
// connections, and it does not read the environment itself; kong does.
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

// Settings are the unparsed flags of a node. All are strings, so that Parse can report every
// fault at once. Each flag can also be set by an environment variable, whose name
// EnvironmentName returns.
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

// Values are validated settings.
type Values struct {
	// Embedded is set if the node starts stand-ins in its own process; the URLs are empty
	// then.
	Embedded                          bool
	LogURL, WeightStoreURL, VMListURL string
	Listen, PeerListen, AdminListen   netip.AddrPort
	Region                            domain.Region
	Zone                              domain.Zone
	// Config is the path of a configuration file for the stand-ins, or empty for the sample
	// configuration.
	Config string
	// TLS is for callers and operators, PeerTLS for links between nodes.
	TLS, PeerTLS                      tlsfiles.Files
	KeepAlive, DrainGrace, DrainLimit time.Duration
	LogLevel                          zerolog.Level
}

// Fault is one invalid setting.
type Fault struct {
	// Flag is the flag's name without the leading dashes.
	Flag    string
	Message string
}

// Faults is an error that lists every fault found.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = "--" + fault.Flag + " (" + EnvironmentName(fault.Flag) + ") " + fault.Message
	}
	return strings.Join(lines, "\n")
}

// EnvironmentPrefix is the prefix of the name of every environment variable, without the
// underscore that follows it.
const EnvironmentPrefix = "PARSLEYLUG"

// EnvironmentName returns the name of a flag's environment variable, for example
// PARSLEYLUG_LOG_URL for log-url.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// maximumDuration is the maximum of every duration setting.
const maximumDuration = 24 * time.Hour

// parser parses settings and collects their faults.
type parser struct{ faults Faults }

func (p *parser) addFault(flag, message string) {
	p.faults = append(p.faults, Fault{Flag: flag, Message: message})
}

// Parse parses and validates the settings. Its error is a Faults with every invalid setting.
func (s Settings) Parse() (Values, error) {
	p := &parser{}
	v := Values{
		Listen:      p.parseAddress("listen", s.Listen),
		PeerListen:  p.parseAddress("peer-listen", s.PeerListen),
		AdminListen: p.parseAddress("admin-listen", s.AdminListen),
		Region:      domain.Region(p.checkName("region", s.Region)),
		Zone:        domain.Zone(p.checkName("zone", s.Zone)),
		Config:      s.Config,
		KeepAlive:   p.parseDuration("keep-alive", s.KeepAlive),
		DrainGrace:  p.parseDuration("drain-grace", s.DrainGrace),
		DrainLimit:  p.parseDuration("drain-limit", s.DrainLimit),
		LogLevel:    p.parseLevel("log-level", s.LogLevel),
	}
	p.checkTLS(s, &v)
	p.checkPlatformURLs(s, &v)
	p.checkDistinctAddresses(v)
	if len(p.faults) > 0 {
		return Values{}, p.faults
	}
	return v, nil
}

// checkTLS sets the TLS files and checks that those that belong together are given together.
func (p *parser) checkTLS(s Settings, v *Values) {
	v.TLS = tlsfiles.Files{Certificate: s.TLSCertificate, Key: s.TLSKey}
	v.PeerTLS = tlsfiles.Files{Certificate: s.PeerCertificate, Key: s.PeerKey, Authority: s.PeerAuthority}
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		p.addFault("tls-certificate", "goes with --tls-key")
	}
	if !v.PeerTLS.IsZero() && (s.PeerCertificate == "" || s.PeerKey == "" || s.PeerAuthority == "") {
		p.addFault("peer-certificate", "goes with --peer-key and --peer-authority")
	}
}

// checkPlatformURLs sets the URLs of the platform. The log and the VM list must be given
// together or not at all; the weight store is optional, since only the engines load from it.
func (p *parser) checkPlatformURLs(s Settings, v *Values) {
	urlsGiven := 0
	for _, u := range []string{s.LogURL, s.WeightStoreURL, s.VMListURL} {
		if u != "" {
			urlsGiven++
		}
	}
	if urlsGiven == 0 {
		v.Embedded = true
		return
	}
	v.LogURL = p.parseURL("log-url", s.LogURL)
	v.VMListURL = p.parseURL("vm-list-url", s.VMListURL)
	if s.WeightStoreURL != "" {
		v.WeightStoreURL = p.parseURL("weight-store-url", s.WeightStoreURL)
	}
	if s.Config != "" {
		p.addFault("config", "is for a node with stand-ins of its own; use parsleylug config apply")
	}
	if v.PeerListen.IsValid() && v.PeerListen.Addr().IsUnspecified() {
		p.addFault("peer-listen", "must be an IP that other nodes can reach")
	}
}

func (p *parser) parseURL(flag, text string) string {
	if text == "" {
		p.addFault(flag, "must be given where another URL is")
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		p.addFault(flag, "must be a URL such as http://10.0.0.1:9000")
	}
	return strings.TrimSuffix(text, "/")
}

func (p *parser) parseAddress(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		p.addFault(flag, "must be IP:PORT, with the IP as a number")
	}
	return a
}

// checkDistinctAddresses checks that no two listeners have the same address.
func (p *parser) checkDistinctAddresses(v Values) {
	flagOf := map[netip.AddrPort]string{}
	for _, l := range []struct {
		flag    string
		address netip.AddrPort
	}{{"listen", v.Listen}, {"peer-listen", v.PeerListen}, {"admin-listen", v.AdminListen}} {
		if !l.address.IsValid() || l.address.Port() == 0 {
			continue
		}
		if other, ok := flagOf[l.address]; ok {
			p.addFault(l.flag, "is the same address as --"+other)
		}
		flagOf[l.address] = l.flag
	}
}

func (p *parser) checkName(flag, text string) string {
	if !configuration.ValidName(text) {
		p.addFault(flag, "must be 1 to 128 letters, digits, '.', '_' or '-'")
	}
	return text
}

func (p *parser) parseDuration(flag, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maximumDuration {
		p.addFault(flag, "must be a duration such as 30s, at most "+maximumDuration.String())
	}
	return d
}

func (p *parser) parseLevel(flag, text string) zerolog.Level {
	for _, l := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
		if l.String() == text {
			return l
		}
	}
	p.addFault(flag, "must be debug, info, warn or error")
	return zerolog.InfoLevel
}

// AsFaults returns the faults in err's chain.
func AsFaults(err error) (Faults, bool) {
	var f Faults
	ok := errors.As(err, &f)
	return f, ok
}
