// Package spec_test ties the specification to the state charts that the code interprets.
package spec_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"shallotramp/internal/ops/chart"
)

// unspecified charts have no model, with the reason.
var unspecified = map[string]string{}

// leftOut are transitions that no model has, as "chart From Event To", with the reason.
var leftOut = map[string]string{}

var label = regexp.MustCompile(`/\* chart ([a-z ]+) ([A-Z][A-Za-z]*) ([A-Z][A-Za-z]*) ([A-Z][A-Za-z]*) \*/`)

// labels returns the transitions that the models name, by chart, with the places.
func labels(t *testing.T) map[string]map[chart.TransitionData]string {
	t.Helper()
	files, err := filepath.Glob("*.pml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no models: %v", err)
	}
	out := map[string]map[chart.TransitionData]string{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			m := label.FindStringSubmatch(line)
			if m == nil {
				if strings.Contains(line, "/* chart") {
					t.Errorf("%s:%d has a label that cannot be read: %s", f, i+1, line)
				}
				continue
			}
			if out[m[1]] == nil {
				out[m[1]] = map[chart.TransitionData]string{}
			}
			out[m[1]][chart.TransitionData{From: m[2], Event: m[3], To: m[4]}] = fmt.Sprintf("%s:%d", f, i+1)
		}
	}
	return out
}

// charts returns the embedded charts of the code by name.
func charts(t *testing.T) map[string]chart.Data {
	t.Helper()
	files, err := filepath.Glob("../internal/*/*/*_chart.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no charts: %v", err)
	}
	out := map[string]chart.Data{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var d chart.Data
		if err := json.Unmarshal(text, &d); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		out[d.Name] = d
	}
	return out
}

func TestSpecificationAndChartsHaveTheSameTransitions(t *testing.T) {
	named, known := labels(t), charts(t)
	for name, d := range known {
		if _, ok := unspecified[name]; ok {
			continue
		}
		has := map[chart.TransitionData]bool{}
		for _, tr := range d.Transitions {
			has[tr] = true
			_, excused := leftOut[fmt.Sprintf("%s %s %s %s", name, tr.From, tr.Event, tr.To)]
			if _, ok := named[name][tr]; !ok && !excused {
				t.Errorf("no model takes %s: %s %s %s; model it, or list it in leftOut with the reason", name, tr.From, tr.Event, tr.To)
			}
		}
		for tr, place := range named[name] {
			if !has[tr] {
				t.Errorf("%s takes %s: %s %s %s, which the chart does not have", place, name, tr.From, tr.Event, tr.To)
			}
		}
	}
	for name := range named {
		if _, ok := known[name]; !ok {
			t.Errorf("the models name a chart %q that the code does not have", name)
		}
	}
}
