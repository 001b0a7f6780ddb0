package tlsfiles

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

// authority issues certificates for tests.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate = a.sign(template, template, a.key)
	return a
}

func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	a.t.Helper()
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate
}

// issue writes a certificate for a name, its key and the authority to dir.
func (a *authority) issue(dir, name string, serial int64) Files {
	a.t.Helper()
	key := newKey(a.t)
	certificate := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, a.certificate, key)
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := Files{filepath.Join(dir, "node.crt"), filepath.Join(dir, "node.key"), filepath.Join(dir, "authority.crt")}
	a.write(f.Certificate, "CERTIFICATE", certificate.Raw)
	a.write(f.Key, "EC PRIVATE KEY", private)
	a.write(f.Authority, "CERTIFICATE", a.certificate.Raw)
	return f
}

func (a *authority) write(path, kind string, data []byte) {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func open(t *testing.T, f Files) *Store {
	t.Helper()
	s, err := New(f, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// node starts a mesh on a listener; others are its list of VMs.
func node(t *testing.T, name string, config *tls.Config, others ...peer.Member) (*peer.Mesh, peer.Member) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := peer.Member{Node: domain.NodeID(name), Address: listener.Addr().String()}
	m := peer.NewMesh(peer.Options{
		Self: self, Listener: listener, TLS: config,
		Seeds: func(context.Context) ([]peer.Member, error) { return others, nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, self
}

func TestOnlyTheRightKeyGetsIn(t *testing.T) {
	right, wrong := newAuthority(t), newAuthority(t)
	a, self := node(t, "a", open(t, right.issue(t.TempDir(), PeerName, 2)).PeerConfig())
	strangers := []struct {
		name   string
		config *tls.Config
	}{
		{"without-tls", nil},
		{"without-key", &tls.Config{InsecureSkipVerify: true}},
		{"other-authority", open(t, wrong.issue(t.TempDir(), PeerName, 3)).PeerConfig()},
		{"caller-certificate", open(t, right.issue(t.TempDir(), "callers.example", 4)).PeerConfig()},
	}
	for _, s := range strangers {
		m, _ := node(t, s.name, s.config, self)
		defer func() {
			if got := len(m.Members()); got != 1 {
				t.Errorf("%s: got %d members, want itself alone", s.name, got)
			}
		}()
	}
	b, _ := node(t, "b", open(t, right.issue(t.TempDir(), PeerName, 5)).PeerConfig(), self)
	deadline := time.Now().Add(10 * time.Second)
	for len(a.Members()) < 2 || len(b.Members()) < 2 {
		if time.Now().After(deadline) {
			t.Fatal("got no link between two nodes with the right keys")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if got := len(a.Members()); got != 2 {
		t.Errorf("got members %v, want a and b", a.Members())
	}
}

func TestReloadKeepsConnections(t *testing.T) {
	dir := t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	s := open(t, first.issue(dir, PeerName, 10))
	listener, err := tls.Listen("tcp", "127.0.0.1:0", s.PeerConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go echo(listener)
	old := dial(t, listener.Addr().String(), s)
	if got, want := serial(old), int64(10); got != want {
		t.Errorf("got certificate %d, want %d", got, want)
	}
	if changed, err := s.Reload(); changed || err != nil {
		t.Errorf("got %v %v from unchanged files", changed, err)
	}
	if err := os.WriteFile(s.files.Certificate, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Reload(); err == nil {
		t.Error("got no error from a broken file")
	}
	if got, want := serial(dial(t, listener.Addr().String(), s)), int64(10); got != want {
		t.Errorf("got certificate %d after a broken file, want %d still", got, want)
	}
	second.issue(dir, PeerName, 11)
	if changed, err := s.Reload(); !changed || err != nil {
		t.Fatalf("got %v %v from new files", changed, err)
	}
	if got, want := serial(dial(t, listener.Addr().String(), s)), int64(11); got != want {
		t.Errorf("got certificate %d, want %d", got, want)
	}
	ping(t, old)
}

func TestServerCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t)
	f := a.issue(dir, "api.example", 20)
	f.Authority = ""
	s := open(t, f)
	config := s.ServerConfig()
	for want := int64(20); want < 22; want++ {
		a.issue(dir, "api.example", want)
		if _, err := s.Reload(); err != nil {
			t.Fatal(err)
		}
		c, err := config.GetCertificate(nil)
		if err != nil || c.Leaf.SerialNumber.Int64() != want {
			t.Errorf("got %v %v, want certificate %d", c.Leaf.SerialNumber, err, want)
		}
	}
}

func TestUnusableFiles(t *testing.T) {
	if _, err := New(Files{Certificate: "absent", Key: "absent"}, zerolog.Nop()); err == nil {
		t.Error("got no error for absent files")
	}
	if !(Files{}).IsZero() || (Files{Key: "k"}).IsZero() {
		t.Error("got Off wrong")
	}
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 1)
			for {
				if _, err := c.Read(buffer); err != nil {
					return
				}
				if _, err := c.Write(buffer); err != nil {
					return
				}
			}
		}()
	}
}

func dial(t *testing.T, address string, s *Store) *tls.Conn {
	t.Helper()
	c, err := tls.Dial("tcp", address, s.PeerConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	ping(t, c)
	return c
}

func ping(t *testing.T, c *tls.Conn) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func serial(c *tls.Conn) int64 {
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
