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

// ClassReport holds the measurements of one class.
type ClassReport struct {
	Class   string
	Offered int
	// Whole counts complete answers. Attainment is the share of Offered that got a complete, correct answer within the
	// targets of its source.
	Whole      int
	Attainment float64
	// Shed counts refusals that say "not run", Failed all other requests without a complete answer.
	Shed   int
	Failed int
	// FirstTokenP50 and the fields below it are percentiles over complete answers, in milliseconds.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 float64
	BetweenTokensP95                            float64
}

// OrganisationReport holds the measurements of one organisation.
type OrganisationReport struct {
	Organisation string
	Offered      int
	Whole        int
	// Share is Whole divided by Offered.
	Share float64
}

// Report holds the measurements of a run.
type Report struct {
	Classes []ClassReport
	// Goodput is the number of tokens per second in answers within their targets. The answer of a plain service counts
	// as one token.
	Goodput           float64
	WorstOrganisation OrganisationReport
	// Wrong counts complete answers with unexpected text, Broken those that started with status 200 and ended early.
	Wrong  int
	Broken int
	// Codes counts answers by error code.
	Codes map[string]int
}

// maxRecordedMillis is the largest value in the histograms; longer times are recorded as this value.
const maxRecordedMillis = 10 * 60 * 1000

// Summarise computes the report of a run whose requests were offered for d.
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
		if a.metTargets() {
			out.Goodput += float64(max(1, a.Tokens)) / d.Seconds()
		}
	}
	for name, list := range classes {
		out.Classes = append(out.Classes, summariseClass(name, list))
	}
	sort.Slice(out.Classes, func(i, j int) bool { return out.Classes[i].Class < out.Classes[j].Class })
	out.WorstOrganisation = worstServed(orgs)
	return out
}

// metTargets reports whether the answer is complete, correct and within the targets of its source.
func (a Answer) metTargets() bool {
	s := a.source
	return a.Whole && a.Correct && (s.FirstToken == 0 || a.FirstToken <= time.Duration(s.FirstToken)) &&
		(s.BetweenTokens == 0 || a.TokenGapP95 <= time.Duration(s.BetweenTokens))
}

func summariseClass(name string, list []Answer) ClassReport {
	c := ClassReport{Class: name, Offered: len(list)}
	first := hdrhistogram.New(1, maxRecordedMillis*1000, 3)
	gap := hdrhistogram.New(1, maxRecordedMillis*1000, 3)
	attained := 0
	for _, a := range list {
		switch {
		case a.Whole:
			c.Whole++
			_ = first.RecordValue(min(a.FirstToken.Microseconds(), maxRecordedMillis*1000))
			_ = gap.RecordValue(min(a.TokenGapP95.Microseconds(), maxRecordedMillis*1000))
		case a.Ran == "not run":
			c.Shed++
		default:
			c.Failed++
		}
		if a.metTargets() {
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

func worstServed(orgs map[string]*OrganisationReport) OrganisationReport {
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

// String returns the report as a table with one line per class and a line of totals.
func (r Report) String() string {
	s := fmt.Sprintf("%-12s %8s %8s %10s %6s %6s %10s %10s %10s\n", "Class", "Offered", "Whole", "Attainment", "Shed", "Failed", "First p50", "First p95", "Gap p95")
	for _, c := range r.Classes {
		s += fmt.Sprintf("%-12s %8d %8d %9.1f%% %6d %6d %8.1fms %8.1fms %8.1fms\n", c.Class, c.Offered, c.Whole, 100*c.Attainment, c.Shed, c.Failed, c.FirstTokenP50, c.FirstTokenP95, c.BetweenTokensP95)
	}
	s += fmt.Sprintf("Goodput %.1f tokens/s, worst organisation %s (%.1f%% of %d), %d wrong, %d incomplete\n",
		r.Goodput, r.WorstOrganisation.Organisation, 100*r.WorstOrganisation.Share, r.WorstOrganisation.Offered, r.Wrong, r.Broken)
	return s
}
