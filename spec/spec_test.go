// Package spec_test checks that the Promela models of the specification have the same transitions as the state charts that
// the code interprets.
package spec_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"shallotramp/internal/ops/statechart"
)

// unmodelledCharts lists the charts without a model, with the reason.
var unmodelledCharts = map[string]string{}

// unmodelledTransitions lists the transitions that no model has, as "chart From Event To", with the reason.
var unmodelledTransitions = map[string]string{}

var transitionLabel = regexp.MustCompile(`/\* chart ([a-z ]+) ([A-Z][A-Za-z]*) ([A-Z][A-Za-z]*) ([A-Z][A-Za-z]*) \*/`)

// modelTransitions returns the transitions that the models label, by chart, each with its file and line.
func modelTransitions(t *testing.T) map[string]map[statechart.TransitionData]string {
	t.Helper()
	files, err := filepath.Glob("*.pml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no *.pml files found: %v", err)
	}
	out := map[string]map[statechart.TransitionData]string{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			m := transitionLabel.FindStringSubmatch(line)
			if m == nil {
				if strings.Contains(line, "/* chart") {
					t.Errorf("%s:%d: invalid chart label: %s", f, i+1, line)
				}
				continue
			}
			if out[m[1]] == nil {
				out[m[1]] = map[statechart.TransitionData]string{}
			}
			out[m[1]][statechart.TransitionData{From: m[2], Event: m[3], To: m[4]}] = fmt.Sprintf("%s:%d", f, i+1)
		}
	}
	return out
}

// charts returns the state charts that are embedded in the code, by name.
func charts(t *testing.T) map[string]statechart.Data {
	t.Helper()
	files, err := filepath.Glob("../internal/*/*/*_chart.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no *_chart.json files found: %v", err)
	}
	out := map[string]statechart.Data{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var d statechart.Data
		if err := json.Unmarshal(text, &d); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		out[d.Name] = d
	}
	return out
}

func TestSpecificationAndChartsHaveTheSameTransitions(t *testing.T) {
	modelled, charted := modelTransitions(t), charts(t)
	for name, d := range charted {
		if _, ok := unmodelledCharts[name]; ok {
			continue
		}
		inChart := map[statechart.TransitionData]bool{}
		for _, tr := range d.Transitions {
			inChart[tr] = true
			_, excused := unmodelledTransitions[fmt.Sprintf("%s %s %s %s", name, tr.From, tr.Event, tr.To)]
			if _, ok := modelled[name][tr]; !ok && !excused {
				t.Errorf("no model has the transition %s: %s %s %s; model it, or list it in unmodelledTransitions with the reason", name, tr.From, tr.Event, tr.To)
			}
		}
		for tr, place := range modelled[name] {
			if !inChart[tr] {
				t.Errorf("%s labels %s: %s %s %s, which the chart does not have", place, name, tr.From, tr.Event, tr.To)
			}
		}
	}
	for name := range modelled {
		if _, ok := charted[name]; !ok {
			t.Errorf("the models label a chart %q that the code does not have", name)
		}
	}
}
