package configuration

import (
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/objective"
)

func TestModelGoalOverridesTeamGoal(t *testing.T) {
	team := Team{Objectives: []Objective{
		{Model: "m", Measure: objective.ColdStart, Within: 8 * time.Second, Share: 0.99},
		{Measure: objective.ColdStart, Within: 20 * time.Second, Share: 0.9},
	}}
	for _, c := range []struct {
		goal objective.Goal
		want objective.Goal
	}{
		{team.Goal("m", objective.ColdStart), objective.Goal{Within: 8 * time.Second, Share: 0.99}},
		{team.Goal("n", objective.ColdStart), objective.Goal{Within: 20 * time.Second, Share: 0.9}},
		{team.Goal("m", objective.FirstToken), objective.DefaultGoal(objective.FirstToken)},
	} {
		if c.goal != c.want {
			t.Errorf("got %+v, want %+v", c.goal, c.want)
		}
	}
}

func TestDecodeRejectsInvalidObjectives(t *testing.T) {
	_, err := Decode([]byte(`{"SchemaVersion":2,"Team":{"Name":"t","Objectives":[
		{"Measure":"FirstTokn","WithinMilliseconds":1,"Share":0.9},
		{"Measure":"InTime","WithinMilliseconds":1,"Share":0.9},
		{"Measure":"ColdStart","Share":1}]}}`))
	if err == nil {
		t.Fatal("got no fault")
	}
	for _, want := range []string{`did you mean "FirstToken"?`, "Objectives[1].WithinMilliseconds", "Objectives[2].WithinMilliseconds", "Objectives[2].Share"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to contain %q", err, want)
		}
	}
}
