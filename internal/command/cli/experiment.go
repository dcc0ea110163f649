package cli

import (
	"fmt"
	"os"
	"text/tabwriter"

	"shallotramp/internal/trial/model"
)

// ExperimentCommand simulates load patterns with several policies in virtual time.
type ExperimentCommand struct {
	Patterns []string `arg:"" optional:"" help:"Names of load patterns; all if left out."`
	File     string   `help:"File with load patterns to use instead of the built-in ones." type:"existingfile" env:"SHALLOTRAMP_PATTERNS"`
	Seeds    int      `help:"Number of random seeds with which each pattern is simulated." default:"3" env:"SHALLOTRAMP_SEEDS"`
	List     bool     `help:"List the load patterns."`
}

// outcome is one line of the report: the results of a class over all seeds. The names of its fields are those of the
// JSON output.
type outcome struct {
	Pattern, Policy, Class string
	// Attained and Served are the results of [model.ClassResult.Attainment] and [model.ClassResult.ServedShare].
	Attained, Served float64
	// LatePause is [model.ClassResult].LateGap. Left counts the requests that their callers abandoned, Asked all requests.
	LateFirst, LatePause, Refused, Left, Asked int
	// FirstMedianMs and First99Ms are quantiles of the time to the first event.
	FirstMedianMs, First99Ms int64
	// ReadAgain is the share of the prefilled prompt tokens that another engine had cached.
	ReadAgain float64
}

// Run implements the command.
func (c *ExperimentCommand) Run(g *Globals) error {
	all, err := c.selectPatterns()
	if err != nil {
		return err
	}
	if c.List {
		for _, p := range all {
			fmt.Fprintf(g.stdout, "%-20s %s\n", p.Name, p.About)
		}
		return nil
	}
	var out []outcome
	for _, p := range all {
		for _, m := range policies {
			fmt.Fprintf(g.stderr, "simulating pattern %s with policy %s\n", p.Name, m.name)
			out = append(out, c.simulate(p, m.name, m.make)...)
		}
	}
	return c.print(g, out)
}

var policies = []struct {
	name string
	make model.PolicyFactory
}{{"ours", model.Placement}, {"least-load", model.LeastLoad}, {"round-robin", model.RoundRobin}}

func (c *ExperimentCommand) selectPatterns() ([]model.Pattern, error) {
	all, err := model.BuiltinPatterns()
	if c.File != "" {
		raw, readErr := os.ReadFile(c.File)
		if readErr != nil {
			return nil, readErr
		}
		all, err = model.ReadPatterns(raw)
	}
	if err != nil || len(c.Patterns) == 0 {
		return all, err
	}
	var out []model.Pattern
	for _, name := range c.Patterns {
		p, err := model.FindPattern(all, name)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// simulate simulates a pattern with each seed. Counts are added up, ratios and latencies averaged.
func (c *ExperimentCommand) simulate(p model.Pattern, name string, m model.PolicyFactory) []outcome {
	sum := map[string]*outcome{}
	for seed := range c.Seeds {
		r := model.Simulate(p, uint64(seed+1), m)
		for _, class := range p.Classes {
			k := r.Classes[class.Name]
			o := sum[class.Name]
			if o == nil {
				o = &outcome{Pattern: p.Name, Policy: name, Class: class.Name}
				sum[class.Name] = o
			}
			n := float64(c.Seeds)
			o.Attained += k.Attainment() / n
			o.Served += k.ServedShare() / n
			o.Asked += k.Offered
			o.Refused += k.Refused
			o.Left += k.Abandoned
			o.LateFirst += k.LateFirst
			o.LatePause += k.LateGap
			o.FirstMedianMs += k.FirstEventQuantile(0.5).Milliseconds() / int64(c.Seeds)
			o.First99Ms += k.FirstEventQuantile(0.99).Milliseconds() / int64(c.Seeds)
			o.ReadAgain += float64(r.RepeatedPrefillTokens) / float64(max(r.PrefillTokens, 1)) / n
		}
	}
	var out []outcome
	for _, class := range p.Classes {
		out = append(out, *sum[class.Name])
	}
	return out
}

func (c *ExperimentCommand) print(g *Globals, out []outcome) error {
	if g.isJSON() {
		return g.json(out)
	}
	w := tabwriter.NewWriter(g.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PATTERN\tPOLICY\tCLASS\tON TIME\tSERVED\tLATE FIRST\tLATE PAUSE\tREFUSED\tLEFT\tOF\tP50 MS\tP99 MS\tREAD AGAIN")
	for _, o := range out {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\n", o.Pattern, o.Policy, o.Class, o.Attained, o.Served,
			o.LateFirst, o.LatePause, o.Refused, o.Left, o.Asked, o.FirstMedianMs, o.First99Ms, o.ReadAgain)
	}
	return w.Flush()
}
