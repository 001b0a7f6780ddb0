package acceptance

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/tlsfiles"
)

// authority is a certificate authority for nodes.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	file        string
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(t.TempDir(), name+".pem")}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file, "CERTIFICATE", raw)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issueCertificate writes a node certificate and its key to files and returns the
// flags that name them.
func (a *authority) issueCertificate() []string {
	a.t.Helper()
	dir := a.t.TempDir()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{tlsfiles.PeerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, keyFile := filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
	writePEM(a.t, certificate, "CERTIFICATE", raw)
	writePEM(a.t, keyFile, "EC PRIVATE KEY", rawKey)
	return []string{"--peer-certificate", certificate, "--peer-key", keyFile, "--peer-authority", a.file}
}

// liveNodes returns the number of live nodes in the view of a node.
func (s *system) liveNodes(p *process) (n int) {
	st, _ := s.status(p)
	for _, x := range st.Nodes {
		if x.Alive {
			n++
		}
	}
	return n
}

// TestOnlyNodesWithTheRightKeyLink starts three nodes with certificates of one
// authority, one of another authority and one without TLS on the same platform. Only
// the three may connect to one another.
func TestOnlyNodesWithTheRightKeyLink(t *testing.T) {
	s := start(t, 0, "--engines", "2")
	trustedAuthority, otherAuthority := newAuthority(t, "right"), newAuthority(t, "wrong")
	for i := range 3 {
		s.nodes = append(s.nodes, s.startNode(i, trustedAuthority.issueCertificate()...))
	}
	untrusted := []*process{s.startNode(3, otherAuthority.issueCertificate()...), s.startNode(4)}
	for _, p := range append(s.nodes, untrusted...) {
		s.awaitReady(p)
	}
	for i, p := range s.nodes {
		waitFor(t, 10*time.Second, "the nodes of one authority to connect", func() bool { return s.liveNodes(p) == 3 })
		if a := sendChat(p.callerAddress, "tls", s.models(1)[0], "question tls end", true, 20*time.Second); !a.complete {
			t.Errorf("node %d: got %+v, want a complete response", i, a)
		}
	}
	time.Sleep(5 * time.Second)
	for _, p := range s.nodes {
		if got, want := s.liveNodes(p), 3; got != want {
			t.Errorf("got %d live nodes, want %d without the untrusted nodes", got, want)
		}
	}
	for _, p := range untrusted {
		if got, want := s.liveNodes(p), 1; got != want {
			t.Errorf("untrusted node: got %d live nodes in its view, want %d", got, want)
		}
	}
	s.checkLimits()
}
