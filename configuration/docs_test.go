package configuration

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/objective"
)

// TestEveryFieldIsDocumented encodes records with every field set and checks that
// docs/configuration.md names each field.
func TestEveryFieldIsDocumented(t *testing.T) {
	page := readPage(t)
	expect, hash := domain.Offset(1), [32]byte{1}
	for _, r := range []Record{
		{Model: &Model{Name: "m", Version: "v", Memory: 1, Copies: 1, Regions: []domain.Region{"r", "s"}, Paused: true, Concurrency: 1, RequestsPerSecond: 1}},
		{Adapter: &Adapter{Name: "a", Model: "m", Version: "v", Memory: 1}},
		{Service: &Service{Name: "s", IdempotentMethods: []string{"GET"}}},
		{Team: &Team{Name: "t", RequestsPerSecond: 1, TokensPerMinute: 1, Concurrency: 1, Priority: 1, Share: 1,
			Objectives: []Objective{{Model: "m", Measure: objective.FirstToken, Within: time.Second, Share: 0.5}}, Models: []domain.ModelName{"m"}, Keys: []Key{{Name: "k", Hash: hash, Expires: time.Unix(1, 0)}}}},
		{Deployment: &Deployment{ColdStartWeight: 1, IdleWeight: 1, DefaultTimeout: time.Second, MaximumTimeout: time.Second, RequireKeys: true}},
		{Drain: &Drain{Server: "s", Off: true}}, {Drain: &Drain{Node: "n"}}, {Drain: &Drain{Zone: "z"}},
		{Quarantine: &Quarantine{Content: hash, Release: true}},
		{Remove: &Remove{Name: "m"}},
	} {
		for _, version := range []int{SchemaVersion1, SchemaVersion2} {
			r.SchemaVersion, r.Expect, r.Author, r.ID = version, &expect, "a", "i"
			raw, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range fieldNames(t, raw) {
				if !strings.Contains(page, "`"+name+"`") {
					t.Errorf("docs/configuration.md does not name %s", name)
				}
			}
		}
	}
}

func fieldNames(t *testing.T, raw []byte) []string {
	t.Helper()
	var names []string
	var walk func(v any)
	walk = func(v any) {
		switch v := v.(type) {
		case map[string]any:
			for name, one := range v {
				names = append(names, name)
				walk(one)
			}
		case []any:
			for _, one := range v {
				walk(one)
			}
		}
	}
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Fatal(err)
	}
	walk(v)
	return names
}

func TestDocumentedExamplesAreValid(t *testing.T) {
	examples := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(readPage(t), -1)
	if got, least := len(examples), 2; got < least {
		t.Errorf("got %d examples, want at least %d", got, least)
	}
	for _, example := range examples {
		if _, faults := DecodeFile("example", strings.NewReader(example[1])); len(faults) > 0 {
			t.Error(Faults(faults))
		}
	}
}

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
