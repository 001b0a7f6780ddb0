package operator

import (
	"strings"
	"testing"
)

// FuzzChanges sends arbitrary bodies to the routes that read one and checks that none
// causes a server error.
func FuzzChanges(f *testing.F) {
	paths := []string{"POST /admin/v1/configuration", "PUT /admin/v1/models/m", "PUT /admin/v1/teams/coral/keys/k", "PUT /admin/v1/deployment"}
	for i, body := range []string{
		`{"Records":[{"SchemaVersion":2,"Model":{"Name":"m","MemoryBytes":1}}]}`,
		`{"SchemaVersion":2,"Model":{"Name":"m","MemoryBytes":"16GiB","Copies":1}}`,
		`{"Hash":"` + strings.Repeat("00", 32) + `","Role":"Caller"}`,
		`{"SchemaVersion":1,"Deployment":{"RequireKeys":false}}`,
	} {
		f.Add(i, body, `"1"`)
	}
	f.Fuzz(func(t *testing.T, i int, body, ifMatch string) {
		method, path, _ := strings.Cut(paths[uint(i)%uint(len(paths))], " ")
		x := newFixture(t, keyedConfiguration()...)
		code, response := x.do(method, path, body, "Authorization", "Bearer Operator", "If-Match", ifMatch)
		if code >= 500 || code < 200 {
			t.Fatalf("%s %s: got %d %s", method, path, code, response)
		}
	})
}

// FuzzDecodeError checks that a client returns an error for any error response.
func FuzzDecodeError(f *testing.F) {
	f.Add(409, []byte(`{"Reason":"VersionConflict","Verdict":"NotRun","Message":"m","CurrentVersion":3,"Faults":[{"Line":1}]}`))
	f.Add(502, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, raw []byte) {
		if decodeError(status, raw) == nil {
			t.Fatal("got nil")
		}
	})
}
