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

// enable must be 1 in the environment for these tests to run.
const enable = "PARSLEYLUG_ACCEPTANCE"

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

// system is a running stand-in process and its nodes.
type system struct {
	t      *testing.T
	binary string
	// URLs are what the stand-in process printed.
	URLs struct {
		LogURL, WeightStoreURL, VMListURL, ControlURL string
		EngineURLs, ServiceURLs                       []string
	}
	nodes []*process
}

// process is one node.
type process struct {
	command *exec.Cmd
	caller  string
	admin   string
	peer    string
	args    []string
	log     *lockedBuffer
	exited  chan struct{}
	err     error
}

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

// start runs the stand-ins with args and n nodes, and waits until all are ready.
func start(t *testing.T, n int, args ...string) *system {
	t.Helper()
	if os.Getenv(enable) != "1" {
		t.Skip("set " + enable + "=1 to run the system as separate processes")
	}
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{t: t, binary: binary}
	s.startStandin(args)
	for i := range n {
		s.nodes = append(s.nodes, s.startNode(i))
	}
	for _, p := range s.nodes {
		s.awaitReady(p)
	}
	return s
}

func (s *system) startStandin(args []string) {
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
		s.t.Fatalf("the stand-ins printed no line: %v; %s", err, log)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	if err := json.Unmarshal(line, &s.URLs); err != nil {
		s.t.Fatalf("the stand-ins printed %q: %v", line, err)
	}
}

// zones spread the nodes over the sample regions.
var zones = []string{"brisbane-a", "townsville-a", "toowoomba-a"}

// startNode runs node i with more settings behind the usual ones.
func (s *system) startNode(i int, more ...string) *process {
	s.t.Helper()
	zone := zones[i%len(zones)]
	p := &process{caller: freeAddress(s.t), admin: freeAddress(s.t), peer: freeAddress(s.t)}
	p.args = []string{
		"serve", "--log-url", s.URLs.LogURL, "--weight-store-url", s.URLs.WeightStoreURL, "--vm-list-url", s.URLs.VMListURL,
		"--listen", p.caller, "--peer-listen", p.peer, "--admin-listen", p.admin,
		"--region", strings.TrimSuffix(zone, "-a"), "--zone", zone, "--drain-grace", "200ms",
	}
	p.args = append(p.args, more...)
	s.run(p)
	return p
}

// run starts the process of a node, again after it ended.
func (s *system) run(p *process) {
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
		p.err = c.Wait()
		close(exited)
	}()
	s.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-exited
		if dir := os.Getenv("PARSLEYLUG_LOGS"); dir != "" {
			name := strings.NewReplacer("/", "_", ":", "_").Replace(s.t.Name() + "-" + p.caller + ".log")
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
	await(s.t, 20*time.Second, "a node to be ready", func() bool {
		r, err := http.Get("http://" + p.caller + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	})
}

// await polls until done, or fails the test after limit.
func await(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// observed is what the stand-ins saw.
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

// fault switches faults with one JSON object.
func (s *system) fault(body string) {
	s.t.Helper()
	r, err := http.Post(s.URLs.ControlURL+"/Faults", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode/100 != 2 {
		raw, _ := io.ReadAll(r.Body)
		s.t.Fatalf("Faults answered %d: %s", r.StatusCode, raw)
	}
}

// checkLimits compares what the stand-ins saw with copies and memory.
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
