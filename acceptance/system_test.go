package acceptance

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// enableVariable is the environment variable that enables these tests when it is 1.
const enableVariable = "PARSLEYLUG_ACCEPTANCE"

// buildOnce builds the binary under test and returns its path.
var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "parsleylug")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "parsleylug")
	out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// system is a running process of stand-ins and the nodes that use it.
type system struct {
	t      *testing.T
	binary string
	// URLs holds the addresses that the stand-in process prints when it starts.
	URLs struct {
		LogURL, WeightStoreURL, VMListURL, ControlURL string
		EngineURLs, ServiceURLs                       []string
	}
	nodes []*process
}

// process is a node across all starts of its process.
type process struct {
	command       *exec.Cmd
	callerAddress string
	adminAddress  string
	peerAddress   string
	args          []string
	log           *lockedBuffer
	exited        chan struct{}
	exitError     error
}

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start starts the stand-ins with args and n nodes, and waits until all nodes are
// ready. It skips the test unless the tests are enabled.
func start(t *testing.T, n int, args ...string) *system {
	t.Helper()
	if os.Getenv(enableVariable) != "1" {
		t.Skip("set " + enableVariable + "=1 to run the system as separate processes")
	}
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{t: t, binary: binary}
	s.startStandIns(args)
	for i := range n {
		s.nodes = append(s.nodes, s.startNode(i))
	}
	for _, p := range s.nodes {
		s.awaitReady(p)
	}
	return s
}

func (s *system) startStandIns(args []string) {
	s.t.Helper()
	c := exec.Command(s.binary, append([]string{"standin"}, args...)...)
	out, err := c.StdoutPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	log := &lockedBuffer{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		s.t.Fatalf("read the addresses that the stand-ins print: %v; %s", err, log)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	if err := json.Unmarshal(line, &s.URLs); err != nil {
		s.t.Fatalf("parse the addresses %q that the stand-ins printed: %v", line, err)
	}
}

// zones are the availability zones of the nodes, one in each sample region.
var zones = []string{"brisbane-a", "townsville-a", "toowoomba-a"}

// startNode starts node i; extraFlags follow the flags that all nodes get.
func (s *system) startNode(i int, extraFlags ...string) *process {
	s.t.Helper()
	zone := zones[i%len(zones)]
	p := &process{callerAddress: freeAddress(s.t), adminAddress: freeAddress(s.t), peerAddress: freeAddress(s.t)}
	p.args = []string{
		"serve", "--log-url", s.URLs.LogURL, "--weight-store-url", s.URLs.WeightStoreURL, "--vm-list-url", s.URLs.VMListURL,
		"--listen", p.callerAddress, "--peer-listen", p.peerAddress, "--admin-listen", p.adminAddress,
		"--region", strings.TrimSuffix(zone, "-a"), "--zone", zone, "--drain-grace", "200ms",
	}
	p.args = append(p.args, extraFlags...)
	s.startProcess(p)
	return p
}

// startProcess starts the process of a node, or starts it again after it exited.
func (s *system) startProcess(p *process) {
	s.t.Helper()
	p.command = exec.Command(s.binary, p.args...)
	p.log = &lockedBuffer{}
	p.command.Stderr = p.log
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	c, exited := p.command, p.exited
	go func() {
		p.exitError = c.Wait()
		close(exited)
	}()
	s.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-exited
		if dir := os.Getenv("PARSLEYLUG_LOGS"); dir != "" {
			name := strings.NewReplacer("/", "_", ":", "_").Replace(s.t.Name() + "-" + p.callerAddress + ".log")
			_ = os.WriteFile(filepath.Join(dir, name), []byte(p.log.String()), 0o600)
		}
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (s *system) awaitReady(p *process) {
	s.t.Helper()
	waitFor(s.t, 20*time.Second, "a node to be ready", func() bool {
		r, err := http.Get("http://" + p.callerAddress + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	})
}

// waitFor polls until done returns true, and fails the test after timeout.
func waitFor(t *testing.T, timeout time.Duration, condition string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout after %v waiting for %s", timeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// observed holds what the stand-ins report at /Observed.
type observed struct {
	Models  map[string]struct{ MostLoaded, Loaded, Copies int }
	Engines map[string]struct {
		MostMemory, Memory int64
		StaleOrdersRefused int
		Crashes            int
		Replicas           []string
	}
	Commands           map[string]int
	Requests           map[string]int
	AcceleratorSeconds struct{ Loaded, Idle float64 }
	LogAppends         int
	LogReads           int
	WeightStore        struct{ MostAtOnce, Loads int }
}

func (s *system) observed() observed {
	s.t.Helper()
	r, err := http.Get(s.URLs.ControlURL + "/Observed")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	var o observed
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		s.t.Fatal(err)
	}
	return o
}

// setFaults configures the faults of the stand-ins with a JSON object.
func (s *system) setFaults(body string) {
	s.t.Helper()
	r, err := http.Post(s.URLs.ControlURL+"/Faults", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode/100 != 2 {
		raw, _ := io.ReadAll(r.Body)
		s.t.Fatalf("POST /Faults: got status %d: %s", r.StatusCode, raw)
	}
}

// checkLimits fails the test if a model had more replicas than permitted copies, or an
// engine used more memory than it has.
func (s *system) checkLimits() observed {
	s.t.Helper()
	o := s.observed()
	for n, m := range o.Models {
		if m.MostLoaded > m.Copies {
			s.t.Errorf("model %s: got %d replicas loaded at once, want at most %d", n, m.MostLoaded, m.Copies)
		}
	}
	for n, e := range o.Engines {
		if e.MostMemory > e.Memory {
			s.t.Errorf("engine %s: got %d bytes in use, want at most %d", n, e.MostMemory, e.Memory)
		}
	}
	return o
}
