// Package kit has what the cases share: a store, the start of a node, and the record of a case.
package kit

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord opens the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Line writes one line with the time since the start.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// IP returns a random loopback address, so that fixed ports are free.
func IP() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.Intn(200), rand.Intn(250), 2+rand.Intn(250))
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Node is a node of the system, as a process.
type Node struct {
	Name, IP, Front, Ready string
	settings               string
	dir                    string
	command                *exec.Cmd
	ended                  chan struct{}
}

// NewNode writes the settings of a node. The settings in more are added or replace others.
func NewNode(dir, name, store string, more map[string]string) (*Node, error) {
	ip := IP()
	n := &Node{Name: name, IP: ip, dir: dir}
	n.Front = fmt.Sprintf("%s:%d", ip, freePort(ip))
	n.Ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
	first := 20000 + rand.Intn(20000)
	values := map[string]string{
		"node": name, "role": "entry", "machine_class": "front", "serves": "front", "ip": ip, "zone": "z1", "region": "r1",
		"zones.z1": "r1", "listen.front": n.Front, "listen.ready": n.Ready, "port_range": fmt.Sprintf("%d,%d", first, first+15),
		"bootstrap": "true", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4200",
		"limits.link_mbps": "1000.0", "limits.disk_mb": "0", "beat_ms": "1200", "bounds.reuse_after_s": "2", "bounds.stable_window_ms": "4000",
		"bounds.drain_ms": "2500", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_ms": "2500", "bounds.downgrade_ms": "250",
		"bounds.budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "52", "bounds.fencing": "true", "bounds.lease_ms": "3000",
		"bounds.ceiling_window_s": "5", "platform.address": store, "platform.form": "log", "platform.ttl_min_ms": "1000",
	}
	for k, v := range more {
		values[k] = v
	}
	var b strings.Builder
	for k, v := range values {
		fmt.Fprintf(&b, "%s=%s\n", k, v)
	}
	n.settings = filepath.Join(dir, name+".conf")
	return n, os.WriteFile(n.settings, []byte(b.String()), 0o600)
}

// Root returns the root of the repository.
func Root() string {
	if r := os.Getenv("REVIEW_ROOT"); r != "" {
		return r
	}
	return "."
}

// Start starts the process of the node with the command of the deploy file.
func (n *Node) Start() error {
	out, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/parsleylug", "front")
	c.Dir = Root()
	c.Env = []string{"PARSLEYLUG_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "LANG=C"}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.command, n.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(n.ended)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.command != nil {
		_ = n.command.Process.Kill()
		<-n.ended
	}
}

// AwaitReady waits until the node reports that it is ready.
func (n *Node) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + n.Ready + "/-/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Route is a route of the configuration.
type Route map[string]any

// PutConfiguration writes a configuration to the store.
func (s *Store) PutConfiguration(version int, routes []Route, services []map[string]any) {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	s.Put("keyed.op", "config", data)
}

// Registration is what a server writes to the store.
type Registration struct {
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Zone     string           `json:"zone"`
	Version  string           `json:"version"`
	Slots    int              `json:"slots"`
	State    string           `json:"state"`
	ColdLeft int              `json:"cold_left_ms"`
	Models   []map[string]any `json:"models,omitempty"`
	Sequence int              `json:"sequence"`
	Born     int64            `json:"born"`
}

// Register writes a registration to the store.
func (s *Store) Register(id string, r Registration) {
	data, _ := json.Marshal(r)
	s.Put("keyed.servers", id, data)
}

// Beat registers a server every 1.2 s until stop is closed.
func (s *Store) Beat(id string, r Registration, stop <-chan struct{}) {
	for {
		s.Register(id, r)
		r.Sequence++
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Run runs a case in a temporary folder and exits.
func Run(play func(dir string, r *Record) (int, error)) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	r, err := NewRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	code, err := play(dir, r)
	if err != nil {
		r.Line("the case could not run: %v", err)
		fmt.Println(err)
		code = NotRun
	}
	r.Line("result: %d (0 held, 1 broken, 2 not run)", code)
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
