package peer

import (
	"context"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// childVariable makes the test binary run as a node. Its value is the address of the
	// node to join.
	childVariable = "PARSLEYLUG_TEST_PEER"
	// pauseVariable is the minimum duration of the pause, for example 30s.
	pauseVariable = "PARSLEYLUG_TEST_PAUSE"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(childVariable); address != "" {
		runChild(address)
		return
	}
	os.Exit(m.Run())
}

// runChild runs a node in a process of its own until its standard input is closed.
func runChild(address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	seed := Member{Node: "a", Address: address, Region: "r", Zone: "z"}
	m := NewMesh(Options{
		Self: Member{Node: "child", Region: "r", Zone: "z"}, Listener: listener,
		Seeds: func(context.Context) ([]Member, error) { return []Member{seed}, nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = os.Stdin.Read(make([]byte, 1))
		cancel()
	}()
	_ = m.Run(ctx)
}

func TestPausedAndKilledProcessIsDetected(t *testing.T) {
	t.Parallel()
	a, b, _ := (&testCluster{t: t}).startThree()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"="+a.options.Self.Address)
	stdin, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer stdin.Close()
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	both := func(alive bool) func() bool {
		return func() bool { return a.IsAlive("child") == alive && b.IsAlive("child") == alive }
	}
	eventually(t, "child", both(true))
	begin := time.Now()
	signal(t, child, syscall.SIGSTOP)
	eventually(t, "loss of the paused child", both(false))
	t.Logf("paused process gone after %v", time.Since(begin))
	if minimumPause, err := time.ParseDuration(os.Getenv(pauseVariable)); err == nil {
		time.Sleep(minimumPause - time.Since(begin))
	}
	begin = time.Now()
	signal(t, child, syscall.SIGCONT)
	eventually(t, "return of the paused child", both(true))
	t.Logf("paused process back after %v", time.Since(begin))
	begin = time.Now()
	signal(t, child, syscall.SIGKILL)
	eventually(t, "loss of the killed child", both(false))
	t.Logf("killed process gone after %v", time.Since(begin))
	if err := child.Wait(); !strings.Contains(err.Error(), "killed") {
		t.Errorf("got %v, want a killed child", err)
	}
}

func signal(t *testing.T, c *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := c.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
