package standin

import (
	"net/http"
	"strings"
	"testing"
)

func post(g *Group) (*http.Response, error) {
	return http.Post(g.LogURL+"/streams/s/records", "application/json", strings.NewReader(`{"Records":["YQ==","Yg=="]}`))
}

func status(t *testing.T, r *http.Response, err error) int {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return r.StatusCode
}

func read(t *testing.T, g *Group, query string) int {
	t.Helper()
	r, err := http.Get(g.LogURL + "/streams/s/records?" + query)
	return status(t, r, err)
}

func TestAppendWithoutAnswerTookEffect(t *testing.T) {
	g := start(t, quick())
	inject(t, g, `{"Log":{"LoseAnswers":1}}`)
	if r, err := post(g); err == nil {
		r.Body.Close()
		t.Errorf("got %s, want a broken connection", r.Status)
	}
	p := g.log.read(t.Context(), "s", 1, 10)
	if got, want := len(p.records), 2; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func TestLogRefusesWhileDownAndOverItsRate(t *testing.T) {
	g := start(t, quick())
	inject(t, g, `{"Log":{"Down":true}}`)
	r, err := post(g)
	if got, want := status(t, r, err), http.StatusServiceUnavailable; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	if got, want := read(t, g, "waitMilliseconds=30000"), http.StatusServiceUnavailable; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	inject(t, g, `{"Log":{"Down":false,"AppendsPerSecond":0.001}}`)
	r, err = post(g)
	if got, want := status(t, r, err), http.StatusOK; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	r, err = post(g)
	if got, want := status(t, r, err), http.StatusTooManyRequests; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	if got, want := observed(t, g).LogAppends, int64(1); got != want {
		t.Errorf("got %d appends, want %d", got, want)
	}
}

func TestRetentionKeepsTheLatestRecords(t *testing.T) {
	g := start(t, quick())
	inject(t, g, `{"Log":{"RetainRecords":3}}`)
	for range 2 {
		r, err := post(g)
		if got, want := status(t, r, err), http.StatusOK; got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	}
	if got, want := read(t, g, "from=1"), http.StatusGone; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	p := g.log.read(t.Context(), "s", 2, 10)
	if p.oldest != 2 || p.next != 5 || len(p.records) != 3 {
		t.Errorf("got %+v", p)
	}
	for _, query := range []string{"from=0", "from=-1", "max=0", "waitMilliseconds=x"} {
		if got, want := read(t, g, query), http.StatusBadRequest; got != want {
			t.Errorf("%s: got %d, want %d", query, got, want)
		}
	}
}

func TestReadWaitsForTheFirstRecord(t *testing.T) {
	g := start(t, quick())
	got := make(chan logPage)
	go func() { got <- g.log.read(t.Context(), "s", 1, 10) }()
	g.log.append("s", [][]byte{[]byte("a")})
	if p := <-got; len(p.records) != 1 || p.next != 2 {
		t.Errorf("got %+v", p)
	}
}

func TestCopiesAreReadFromTheConfigurationStream(t *testing.T) {
	o := quick()
	o.ConfigurationRecords = [][]byte{[]byte("m")}
	o.DecodeCopies = func(raw []byte) (string, int, bool) { return string(raw), 2, true }
	g := start(t, o)
	if got, want := observed(t, g).Models["m"].Copies, 2; got != want {
		t.Errorf("got %d copies, want %d", got, want)
	}
}
