package main

import (
	"fmt"
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

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begun time.Time
	out   *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{begun: time.Now(), out: f}
}

func (l *record) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f "+format+"\n", append([]any{time.Since(l.begun).Seconds()}, args...)...)
}

// node is one process of the deploy file's command.
type node struct {
	name, ip, front, ready string
	settings, logPath      string
	root, program          string
	args                   []string
	log                    *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

var hostNumber = 0

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newNode writes the settings of a node with an address of its own.
func newNode(log *record, root, dir, storeAddress string, bounds map[string]string) *node {
	hostNumber++
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, 1+pid%200, hostNumber)
	n := &node{name: fmt.Sprintf("front-z1-%d", hostNumber), ip: ip, root: root, log: log, program: filepath.Join(root, "target/parsleylug"), args: []string{"front"}}
	n.front, n.ready = freePort(ip), freePort(ip)
	v := map[string]string{
		"node": n.name, "role": "entry", "machine_class": "front", "serves": "front", "ip": ip, "zone": "z1", "region": "r1", "zones.z1": "r1",
		"listen.front": n.front, "listen.ready": n.ready, "port_range": "7380,7395", "bootstrap": "true",
		"limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4200", "limits.link_mbps": "1000.0",
		"beat_ms": "1200", "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.stable_window_ms": "4000", "bounds.ack_ms": "5000", "bounds.catch_up_s": "4",
		"bounds.drain_ms": "2500", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_ms": "2500", "bounds.downgrade_ms": "250",
		"bounds.stretch_ms": "6000", "bounds.budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "52", "bounds.recover_s": "12",
		"bounds.pass_ms": "250", "bounds.retry_after_s": "0", "bounds.fencing": "true", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300",
		"bounds.ceiling_window_s": "5", "bounds.ceiling_over": "1.1",
		"platform.address": storeAddress, "platform.form": "log", "platform.writes_per_s": "400", "platform.reads_per_s": "2000", "platform.parts": "8",
		"platform.append_ms": "4.0", "platform.ttl_min_ms": "1000", "platform.keep_s": "300",
	}
	for k, x := range bounds {
		v[k] = x
	}
	var lines []string
	for k, x := range v {
		lines = append(lines, k+"="+x)
	}
	n.settings = filepath.Join(dir, n.name+".conf")
	n.logPath = filepath.Join(dir, n.name+".log")
	must(os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return n
}

func (n *node) start() {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	c := exec.Command(n.program, n.args...)
	c.Dir = n.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYLUG_SETTINGS=" + n.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.Start())
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = c, exited
	n.mu.Unlock()
	n.log.add("%s starts at %s", n.name, n.front)
	go func() {
		_ = c.Wait()
		close(exited)
		_ = out.Close()
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.add("%s gets %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

func (n *node) awaitExit(d time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (n *node) kill() {
	n.mu.Lock()
	c := n.command
	n.mu.Unlock()
	if c != nil {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		n.awaitExit(5 * time.Second)
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (n *node) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}
