package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is a process of the program under test, started with the command of the deploy file.
type node struct {
	name, ip, front, ready, settings, log string
	mu                                    sync.Mutex
	cmd                                   *exec.Cmd
	done                                  chan struct{}
}

var (
	// cleanup is the temporary folder of this run.
	cleanup string
	nodesMu sync.Mutex
	started []*node
)

// exit ends the processes that were started, and this one.
func exit(code int) {
	nodesMu.Lock()
	list := started
	nodesMu.Unlock()
	for _, n := range list {
		n.kill(syscall.SIGCONT)
		n.kill(syscall.SIGKILL)
		n.wait(5 * time.Second)
	}
	if cleanup != "" {
		_ = os.RemoveAll(cleanup)
	}
	os.Exit(code)
}

// loopback returns an address of this process's own network.
func loopback(host int) string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+p/250%250, 1+p%250, host)
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newNode(dir string, i int, storeAddress, extra string) *node {
	n := &node{name: fmt.Sprintf("front-z%d-1", i), ip: loopback(i)}
	n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip)), fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	first := freePort(n.ip)
	n.settings, n.log = filepath.Join(dir, n.name+".conf"), filepath.Join(dir, n.name+".log")
	text := fmt.Sprintf(`node=%s
role=entry
machine_class=front
serves=front
ip=%s
zone=z%d
region=r%d
zones.z1=r1
zones.z2=r2
zones.z3=r3
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
beat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
bounds.drain_ms=2500
bounds.grace_s=8
bounds.config_ms=2500
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=52
bounds.fencing=true
bounds.lease_ms=3000
bounds.ceiling_window_s=5
platform.address=%s
platform.form=log
platform.ttl_min_ms=1000
%s`, n.name, n.ip, i, i, n.front, n.ready, first, min(65535, first+15), storeAddress, extra)
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	n.start()
	return n
}

func (n *node) start() {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer out.Close()
	cmd := exec.Command(program(), "front")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYLUG_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	nodesMu.Lock()
	started = append(started, n)
	nodesMu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
}

func program() string {
	if p := os.Getenv("PROGRAM"); p != "" {
		return p
	}
	return "target/parsleylug"
}

func (n *node) kill(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(s)
	}
}

// wait reports whether the process has ended within d.
func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (n *node) awaitReady() {
	for end := time.Now().Add(15 * time.Second); !n.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			fmt.Println("cannot run: a node is not ready")
			exit(2)
		}
	}
}
