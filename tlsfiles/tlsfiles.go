// Package tlsfiles reads TLS certificates from files and reloads them when the files
// change, without a restart and without closing connections. The command serve uses it for
// the listeners of callers and operators and for the links between nodes. It never issues
// certificates or writes files.
package tlsfiles

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// ReloadInterval is the interval between checks of the files.
	ReloadInterval = 5 * time.Second
	// PeerName is a DNS name that the certificate of each node must contain, so that a
	// certificate for callers from the same authority is not accepted on a link between
	// nodes. Nodes are dialled by IP addresses, which are not in the certificates.
	PeerName = "node.parsleylug"
)

// Files holds the paths of PEM files. The zero Files means that TLS is off.
type Files struct {
	Certificate, Key string
	// Authority is the file of the root certificates for peers. Listeners for callers
	// and operators need none.
	Authority string
}

// IsZero reports whether no file is set.
func (f Files) IsZero() bool { return f == Files{} }

// Store holds the newest valid certificates. It is safe for concurrent use.
type Store struct {
	files  Files
	logger zerolog.Logger

	mu      sync.RWMutex
	loaded  fileContents
	current credentials
}

// fileContents holds the bytes of the files. Reload compares them to detect a change.
type fileContents struct{ certificate, key, authority []byte }

// credentials holds the parsed files. They are replaced together, so that certificate and
// authority always match.
type credentials struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New returns a store with the certificates in the files.
func New(f Files, l zerolog.Logger) (*Store, error) {
	s := &Store{files: f, logger: l}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Run reloads changed files until ctx ends. Where they are invalid, it logs an error and
// keeps the current certificates.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		changed, err := s.Reload()
		if err != nil {
			s.logger.Error().Err(err).Str("Event", "CertificatesNotReloaded").Msg("reload certificates failed; keeping the current ones")
		}
		if changed {
			s.logger.Info().Str("Event", "CertificatesReloaded").Time("Expires", s.Expires()).Msg("certificates reloaded")
		}
	}
}

// Reload reads the files again and reports whether the certificates were replaced. After
// an error the current ones stay in use.
func (s *Store) Reload() (bool, error) {
	read, err := s.files.read()
	if err != nil {
		return false, err
	}
	s.mu.RLock()
	unchanged := read.equal(s.loaded)
	s.mu.RUnlock()
	if unchanged {
		return false, nil
	}
	m, err := read.parse()
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.current = read, m
	return true, nil
}

// Expires returns the expiry time of the certificate.
func (s *Store) Expires() time.Time { return s.currentCredentials().certificate.Leaf.NotAfter }

func (s *Store) currentCredentials() credentials {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// ServerConfig returns the configuration of a listener for callers or operators.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentCredentials().certificate, nil },
	}
}

// PeerConfig returns the configuration of links between nodes, for both ends. Each end
// must present a certificate from the authority that contains PeerName.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// The standard verification requires the dialled IP in the certificate.
		// VerifyConnection checks the chain and PeerName instead.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyPeer,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.currentCredentials().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentCredentials().certificate, nil
		},
	}
}

// verifyPeer checks that a peer's certificate chains to the authority and contains PeerName.
func (s *Store) verifyPeer(c tls.ConnectionState) error {
	m := s.currentCredentials()
	if m.authority == nil || len(c.PeerCertificates) == 0 {
		return errors.New("tlsfiles: no authority is set or the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range c.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.authority, Intermediates: intermediates, DNSName: PeerName,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}

func (f Files) read() (fileContents, error) {
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return fileContents{}, errors.Wrap(err, "read certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return fileContents{}, errors.Wrap(err, "read key")
	}
	c := fileContents{certificate: certificate, key: key}
	if f.Authority == "" {
		return c, nil
	}
	c.authority, err = os.ReadFile(f.Authority)
	return c, errors.Wrap(err, "read authority")
}

func (c fileContents) equal(d fileContents) bool {
	return bytes.Equal(c.certificate, d.certificate) && bytes.Equal(c.key, d.key) && bytes.Equal(c.authority, d.authority)
}

func (c fileContents) parse() (credentials, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return credentials{}, errors.Wrap(err, "parse certificate and key")
	}
	m := credentials{certificate: &pair}
	if c.authority == nil {
		return m, nil
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(c.authority) {
		return credentials{}, errors.New("tlsfiles: the authority file has no certificate")
	}
	return m, nil
}
