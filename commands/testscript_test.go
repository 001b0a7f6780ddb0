package commands

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"parsleylug": func() { os.Exit(Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
		// exits-with CODE ARGS... succeeds if parsleylug exits with CODE.
		"exits-with": exitsWith,
		// eventually PATTERN ARGS... runs parsleylug repeatedly until its output matches.
		"eventually": eventually,
		// metric NAME TAG VALUE WANT succeeds once the sum of the node's metrics NAME whose
		// TAG is VALUE equals WANT.
		"metric": metric,
		// suspect prints the first suspected content hash in the output of status.
		"suspect": suspect,
		// request METHOD URL [BODY] [NAME:VALUE...] sends an HTTP request and prints the
		// status code and the body of the response.
		"request": request,
	})
}

func TestScripts(t *testing.T) {
	scripts, err := filepath.Glob("../testscripts/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files: append(scripts, pagesScript(t)),
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"serve": startNode, "standins": startStandins, "env-file": setEnvFromFile},
		// Scripts with the condition acceptance are slow and run only on demand.
		Condition: func(name string) (bool, error) {
			return name == "acceptance" && os.Getenv("PARSLEYLUG_ACCEPTANCE") == "1", nil
		},
	})
}

// setEnvFromFile is the script command "env-file NAME FILE": it sets an environment variable
// to the trimmed content of the file.
func setEnvFromFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

func exitsWith() {
	got := Execute(os.Args[2:], os.Stdin, os.Stdout, os.Stderr)
	if want := os.Args[1]; strconv.Itoa(got) != want {
		fmt.Fprintf(os.Stderr, "got exit code %d, want %s\n", got, want)
		os.Exit(1)
	}
}

// eventuallyTimeout limits how long the commands eventually and metric wait for a match.
const eventuallyTimeout = 10 * time.Second

func eventually() {
	pattern := regexp.MustCompile("(?m)" + os.Args[1])
	var out bytes.Buffer
	for started := time.Now(); time.Since(started) < eventuallyTimeout; time.Sleep(20 * time.Millisecond) {
		out.Reset()
		if Execute(os.Args[2:], os.Stdin, &out, io.Discard) == exitOK && pattern.Match(out.Bytes()) {
			return
		}
	}
	fmt.Fprintf(os.Stderr, "no match for %s in\n%s", pattern, out.Bytes())
	os.Exit(1)
}

func suspect() {
	var out bytes.Buffer
	Execute([]string{"status"}, os.Stdin, &out, os.Stderr)
	fmt.Println(regexp.MustCompile(`(?m)^[0-9a-f]{64}`).FindString(out.String()))
}

// metric polls, because a node publishes its metrics only once a second.
func metric() {
	got := ""
	for started := time.Now(); time.Since(started) < eventuallyTimeout; time.Sleep(20 * time.Millisecond) {
		if got = sumMetric(os.Args[1], os.Args[2]+`="`+os.Args[3]+`"`); got == os.Args[4] {
			return
		}
	}
	fmt.Fprintf(os.Stderr, "%s with %s: got %s, want %s\n", os.Args[1], os.Args[3], got, os.Args[4])
	os.Exit(1)
}

// sumMetric returns the sum of all series of a metric whose labels contain tag.
func sumMetric(name, tag string) string {
	resp, err := http.Get(os.Getenv("PARSLEYLUG_ADMIN_URL") + "/metrics")
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		line := lines.Text()
		if !strings.HasPrefix(line, name+"{") || !strings.Contains(line, tag) {
			continue
		}
		v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			panic(err)
		}
		sum += v
	}
	return strconv.FormatFloat(sum, 'f', -1, 64)
}

func request() {
	body := ""
	if len(os.Args) > 3 {
		body = os.Args[3]
	}
	r, err := http.NewRequest(os.Args[1], os.Args[2], strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for _, header := range os.Args[min(4, len(os.Args)):] {
		name, value, _ := strings.Cut(header, ":")
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	fmt.Println(resp.StatusCode)
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		panic(err)
	}
}

// readyTimeout limits how long a started node may take to become ready.
const readyTimeout = 20 * time.Second

// startNode is the script command "serve FLAGS...": it starts a node on free
// ports, waits until it is ready and sets PARSLEYLUG_ADMIN_URL and CALLER_URL. The
// node is stopped at the end of the script and must exit with 0.
func startNode(ts *testscript.TestScript, _ bool, args []string) {
	args = append([]string{"serve", "--listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0", "--drain-grace=0s"}, args...)
	line := startProcess(ts, args, func(line map[string]any) bool { return line["Event"] == "Serving" })
	ts.Setenv("PARSLEYLUG_ADMIN_URL", line["AdminURL"].(string))
	ts.Setenv("CALLER_URL", line["CallerURL"].(string))
	ts.Setenv("NODE", line["Node"].(string))
	waitReady(ts, ts.Getenv("CALLER_URL")+"/readyz")
}

// startStandins is the script command "standins FLAGS...": it starts the stand-ins
// and sets PARSLEYLUG_LOG_URL, PARSLEYLUG_WEIGHT_STORE_URL, PARSLEYLUG_VM_LIST_URL,
// CONTROL_URL and, for each engine, ENGINE_1_URL and so on.
func startStandins(ts *testscript.TestScript, _ bool, args []string) {
	line := startProcess(ts, append([]string{"standin"}, args...), func(line map[string]any) bool { return line["LogURL"] != nil })
	ts.Setenv("PARSLEYLUG_LOG_URL", line["LogURL"].(string))
	ts.Setenv("PARSLEYLUG_WEIGHT_STORE_URL", line["WeightStoreURL"].(string))
	ts.Setenv("PARSLEYLUG_VM_LIST_URL", line["VMListURL"].(string))
	ts.Setenv("CONTROL_URL", line["ControlURL"].(string))
	for i, url := range line["EngineURLs"].([]any) {
		ts.Setenv(fmt.Sprintf("ENGINE_%d_URL", i+1), url.(string))
	}
}

// startProcess runs this program as a process until the end of the script and returns the
// first JSON line of its stdout and stderr that accept returns true for. Both streams are also
// written to a file named after the command, such as serve.log.
func startProcess(ts *testscript.TestScript, args []string, accept func(map[string]any) bool) map[string]any {
	program, err := exec.LookPath("parsleylug")
	ts.Check(err)
	cmd := exec.Command(program, args...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = os.Environ()
	for _, name := range []string{"LOG_URL", "WEIGHT_STORE_URL", "VM_LIST_URL"} {
		if value := ts.Getenv("PARSLEYLUG_" + name); value != "" {
			cmd.Env = append(cmd.Env, "PARSLEYLUG_"+name+"="+value)
		}
	}
	output, err := cmd.StderrPipe()
	ts.Check(err)
	cmd.Stdout = cmd.Stderr
	ts.Check(cmd.Start())
	logFile, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	first := make(chan map[string]any, 1)
	outputEnded := make(chan struct{})
	go scanOutput(io.TeeReader(output, logFile), accept, first, outputEnded)
	ts.Defer(func() {
		ts.Check(cmd.Process.Signal(syscall.SIGTERM))
		<-outputEnded
		ts.Check(cmd.Wait())
		ts.Check(logFile.Close())
	})
	select {
	case line := <-first:
		return line
	case <-outputEnded:
		ts.Fatalf("%s ended before it was ready", args[0])
	}
	return nil
}

// scanOutput sends the first accepted line to first, reads the rest and closes outputEnded.
func scanOutput(r io.Reader, accept func(map[string]any) bool, first chan<- map[string]any, outputEnded chan<- struct{}) {
	defer close(outputEnded)
	lines := bufio.NewScanner(r)
	found := false
	for lines.Scan() {
		var line map[string]any
		if !found && json.Unmarshal(lines.Bytes(), &line) == nil && accept(line) {
			found = true
			first <- line
		}
	}
}

func waitReady(ts *testscript.TestScript, url string) {
	for started := time.Now(); time.Since(started) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("the node is not ready after %s", readyTimeout)
}
