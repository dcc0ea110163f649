package workload

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassReport is the measures of one class.
type ClassReport struct {
	Class   string
	Offered int
	// Whole answers, and those of them within the class's targets as a share of Offered.
	Whole      int
	Attainment float64
	// Shed counts refusals that say "not run", Failed all other ends.
	Shed   int
	Failed int
	// FirstToken and BetweenTokens are milliseconds at a percentile of whole answers.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 float64
	BetweenTokensP95                            float64
}

// OrganisationReport is the service that one organisation got.
type OrganisationReport struct {
	Organisation string
	Offered      int
	Whole        int
	// Share is whole answers by offered requests.
	Share float64
}

// Report is the measures of a run.
type Report struct {
	Classes []ClassReport
	// Goodput counts the tokens per second of answers within their targets; a plain service's answer counts as one.
	Goodput           float64
	WorstOrganisation OrganisationReport
	// Wrong counts answers that differ from the right one, Broken those that ended without being whole.
	Wrong  int
	Broken int
	Codes  map[string]int
}

// maxMillis bounds the histograms.
const maxMillis = 10 * 60 * 1000

// Summarise computes the measures of the answers of a run that lasted d.
func Summarise(answers []Answer, d time.Duration) Report {
	out := Report{Codes: map[string]int{}}
	classes := map[string][]Answer{}
	orgs := map[string]*OrganisationReport{}
	for _, a := range answers {
		classes[a.Class] = append(classes[a.Class], a)
		o, ok := orgs[a.Organisation]
		if !ok {
			o = &OrganisationReport{Organisation: a.Organisation}
			orgs[a.Organisation] = o
		}
		o.Offered++
		if a.Whole {
			o.Whole++
		}
		if a.Code != "" {
			out.Codes[a.Code]++
		}
		if a.Whole && !a.Correct {
			out.Wrong++
		}
		if a.Status == http.StatusOK && !a.Whole {
			out.Broken++
		}
		if a.attained() {
			out.Goodput += float64(max(1, a.Tokens)) / d.Seconds()
		}
	}
	for name, list := range classes {
		out.Classes = append(out.Classes, summariseClass(name, list))
	}
	sort.Slice(out.Classes, func(i, j int) bool { return out.Classes[i].Class < out.Classes[j].Class })
	out.WorstOrganisation = worst(orgs)
	return out
}

// attained reports whether the answer met the targets of its source.
func (a Answer) attained() bool {
	s := a.source
	return a.Whole && a.Correct && (s.FirstToken == 0 || a.FirstToken <= time.Duration(s.FirstToken)) &&
		(s.BetweenTokens == 0 || a.TokenGapP95 <= time.Duration(s.BetweenTokens))
}

func summariseClass(name string, list []Answer) ClassReport {
	c := ClassReport{Class: name, Offered: len(list)}
	first := hdrhistogram.New(1, maxMillis*1000, 3)
	gap := hdrhistogram.New(1, maxMillis*1000, 3)
	attained := 0
	for _, a := range list {
		switch {
		case a.Whole:
			c.Whole++
			_ = first.RecordValue(min(a.FirstToken.Microseconds(), maxMillis*1000))
			_ = gap.RecordValue(min(a.TokenGapP95.Microseconds(), maxMillis*1000))
		case a.Ran == "not run":
			c.Shed++
		default:
			c.Failed++
		}
		if a.attained() {
			attained++
		}
	}
	if c.Offered > 0 {
		c.Attainment = float64(attained) / float64(c.Offered)
	}
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	c.FirstTokenP50, c.FirstTokenP95, c.FirstTokenP99 = millis(first, 50), millis(first, 95), millis(first, 99)
	c.BetweenTokensP95 = millis(gap, 95)
	return c
}

func worst(orgs map[string]*OrganisationReport) OrganisationReport {
	var out OrganisationReport
	names := slices.Sorted(maps.Keys(orgs))
	for i, n := range names {
		o := orgs[n]
		o.Share = float64(o.Whole) / float64(max(1, o.Offered))
		if i == 0 || o.Share < out.Share {
			out = *o
		}
	}
	return out
}

// String returns the report as lines of a table.
func (r Report) String() string {
	s := fmt.Sprintf("%-12s %8s %8s %10s %6s %6s %10s %10s %10s\n", "Class", "Offered", "Whole", "Attainment", "Shed", "Failed", "First p50", "First p95", "Gap p95")
	for _, c := range r.Classes {
		s += fmt.Sprintf("%-12s %8d %8d %9.1f%% %6d %6d %8.1fms %8.1fms %8.1fms\n", c.Class, c.Offered, c.Whole, 100*c.Attainment, c.Shed, c.Failed, c.FirstTokenP50, c.FirstTokenP95, c.BetweenTokensP95)
	}
	s += fmt.Sprintf("Goodput %.1f tokens/s, worst organisation %s (%.1f%% of %d), %d wrong, %d broken off\n",
		r.Goodput, r.WorstOrganisation.Organisation, 100*r.WorstOrganisation.Share, r.WorstOrganisation.Offered, r.Wrong, r.Broken)
	return s
}
