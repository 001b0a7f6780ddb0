package commands

import (
	"encoding/json"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/alecthomas/kong"
)

func parseStandin(t *testing.T, args ...string) (*StandinCommand, error) {
	t.Helper()
	var line struct {
		Standin StandinCommand `cmd:""`
	}
	k, err := kong.New(&line)
	if err != nil {
		t.Fatal(err)
	}
	_, err = k.Parse(append([]string{"standin"}, args...))
	return &line.Standin, err
}

func TestStandinRejectsInvalidFlags(t *testing.T) {
	for _, flag := range []string{
		"--listen-ip=localhost", "--engines=0", "--load-time=-1s", "--engine-memory=much",
		"--checks-fences=some", "--checks-fences=all,none", "--config=no-such-file", "--seed=-1",
	} {
		if _, err := parseStandin(t, flag); err == nil {
			t.Errorf("%s: got no error", flag)
		}
	}
}

func TestStandinPrintsReadyLineAndStopsOnSIGTERM(t *testing.T) {
	c, err := parseStandin(t, "--engines=3", "--services=2", "--checks-fences=alternate")
	if err != nil {
		t.Fatal(err)
	}
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := c.Run(&Deps{Out: writer})
		writer.Close()
		ended <- err
	}()
	var ready readyLine
	if err := json.NewDecoder(reader).Decode(&ready); err != nil {
		t.Fatal(err)
	}
	if len(ready.EngineURLs) != 3 || len(ready.ServiceURLs) != 2 || ready.ControlURL == "" {
		t.Errorf("got %+v", ready)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(reader)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := strings.TrimSpace(string(rest)); got != "" {
		t.Errorf("got %q after the first line", got)
	}
}
