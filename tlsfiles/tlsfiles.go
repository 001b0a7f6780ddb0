// Package tlsfiles keeps TLS certificates that are read from files and reads them
// again when they change, without a restart and without cutting a connection.
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
	// ReloadInterval is how often the files are looked at.
	ReloadInterval = 5 * time.Second
	// PeerName is a DNS name that the certificate of each node must carry, so
	// that a certificate for callers from the same authority opens no link
	// between nodes. Nodes are reached by IP numbers that no certificate names.
	PeerName = "node.parsleylug"
)

// Files are the paths of PEM files. The zero Files mean that TLS is off.
type Files struct {
	Certificate, Key string
	// Authority holds the certificates that peers must chain to; servers for
	// callers need none.
	Authority string
}

// IsZero tells whether no file is named.
func (f Files) IsZero() bool { return f == Files{} }

// Store holds the newest certificates that could be read. It is safe for
// concurrent use.
type Store struct {
	files  Files
	logger zerolog.Logger

	mu      sync.RWMutex
	read    contents
	current material
}

// contents are the files' bytes, to see a change.
type contents struct{ certificate, key, authority []byte }

// material is what the files hold; it always belongs together.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New reads the files.
func New(f Files, l zerolog.Logger) (*Store, error) {
	s := &Store{files: f, logger: l}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Run looks for changed files until ctx ends. Files that cannot be used are
// logged and leave the certificates as they are.
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
			s.logger.Error().Err(err).Str("Event", "CertificatesNotReloaded").Msg("certificates cannot be used; the ones before stay in use")
		}
		if changed {
			s.logger.Info().Str("Event", "CertificatesReloaded").Time("Expires", s.Expires()).Msg("certificates reloaded")
		}
	}
}

// Reload reads the files again and tells whether they changed.
func (s *Store) Reload() (bool, error) {
	read, err := s.files.read()
	if err != nil {
		return false, err
	}
	s.mu.RLock()
	same := read.equal(s.read)
	s.mu.RUnlock()
	if same {
		return false, nil
	}
	m, err := read.parse()
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read, s.current = read, m
	return true, nil
}

// Expires is when the certificate ends.
func (s *Store) Expires() time.Time { return s.material().certificate.Leaf.NotAfter }

func (s *Store) material() material {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// ServerConfig returns the configuration of a listener for callers or operators.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.material().certificate, nil },
	}
}

// PeerConfig returns the configuration of links between nodes, for both ends: each end
// shows a certificate of the authority with PeerName.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// The library's own check wants the dialled IP in the certificate;
		// VerifyConnection checks the chain and PeerName in its place.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.material().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.material().certificate, nil
		},
	}
}

// verify checks the other node's certificate.
func (s *Store) verify(c tls.ConnectionState) error {
	m := s.material()
	if m.authority == nil || len(c.PeerCertificates) == 0 {
		return errors.New("tlsfiles: no authority or no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, one := range c.PeerCertificates[1:] {
		intermediates.AddCert(one)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.authority, Intermediates: intermediates, DNSName: PeerName,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the certificate of a peer")
}

func (f Files) read() (contents, error) {
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return contents{}, errors.Wrap(err, "read certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return contents{}, errors.Wrap(err, "read key")
	}
	c := contents{certificate: certificate, key: key}
	if f.Authority == "" {
		return c, nil
	}
	c.authority, err = os.ReadFile(f.Authority)
	return c, errors.Wrap(err, "read authority")
}

func (c contents) equal(d contents) bool {
	return bytes.Equal(c.certificate, d.certificate) && bytes.Equal(c.key, d.key) && bytes.Equal(c.authority, d.authority)
}

func (c contents) parse() (material, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return material{}, errors.Wrap(err, "parse certificate and key")
	}
	m := material{certificate: &pair}
	if c.authority == nil {
		return m, nil
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(c.authority) {
		return material{}, errors.New("tlsfiles: no certificate in the authority's file")
	}
	return m, nil
}
