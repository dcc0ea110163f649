package cli

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/report"
	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/window"
)

// UsageCommand shows usage windows.
type UsageCommand struct {
	PlatformFlags
	Reports string `help:"Base URL of the platform's interface for usage reports, to compare what it accepted." env:"SHALLOTRAMP_REPORTS"`
	Window  string `arg:"" optional:"" help:"Window to show by organisation; all windows in short if left out."`
}

// Run implements the command. It fails when a reported window differs from its frozen figures.
func (c *UsageCommand) Run(g *Globals) error {
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	var reader report.Reader
	if c.Reports != "" {
		reader = report.NewClient(c.Reports)
	}
	list, err := reporter.Windows(ctx, st, reader)
	if err != nil {
		return err
	}
	if c.Window != "" {
		list = only(list, window.ID(c.Window))
		if len(list) == 0 {
			return errors.Newf("there is no window %q; run 'shallotramp usage' to see all", c.Window)
		}
	}
	if g.isJSON() {
		if err := g.json(struct{ Windows []window.Summary }{append([]window.Summary{}, list...)}); err != nil {
			return err
		}
	} else {
		c.print(g, list)
	}
	return differing(list)
}

func only(list []window.Summary, id window.ID) []window.Summary {
	for _, s := range list {
		if s.ID == id {
			return []window.Summary{s}
		}
	}
	return nil
}

// differing returns an error that names the windows whose report is not what was frozen.
func differing(list []window.Summary) error {
	var bad []string
	for _, s := range list {
		if len(s.Difference) > 0 || !s.Intact {
			bad = append(bad, string(s.ID))
		}
	}
	if len(bad) == 0 {
		return nil
	}
	return errors.Newf("windows %s differ from their frozen figures; compare 'shallotramp usage WINDOW' with the platform's report and tell its operators", strings.Join(bad, ", "))
}

func (c *UsageCommand) print(g *Globals, list []window.Summary) {
	fmt.Fprintf(g.stdout, "%-24s %-9s %-20s %10s %14s %14s %5s %11s\n", "Window", "State", "Start", "Requests", "PromptTokens", "OutputTokens", "Late", "Differences")
	for _, s := range list {
		t := total(s)
		fmt.Fprintf(g.stdout, "%-24s %-9s %-20s %10d %14d %14d %5d %11d\n", s.ID, s.State, s.Start.UTC().Format(time.DateTime),
			t.Requests, t.PromptTokens, t.OutputTokens, len(s.Late), len(s.Difference))
		if c.Window == "" {
			continue
		}
		names := make([]string, 0, len(s.Figures))
		for n := range s.Figures {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			u := s.Figures[n]
			fmt.Fprintf(g.stdout, "  %-52s %10d %14d %14d\n", n, u.Requests, u.PromptTokens, u.OutputTokens)
		}
		for _, server := range s.Unread {
			fmt.Fprintf(g.stdout, "  not read: %s\n", server)
		}
	}
}

// total sums a window's figures over organisations.
func total(s window.Summary) (t struct{ Requests, PromptTokens, OutputTokens int64 }) {
	for _, u := range s.Figures {
		t.Requests += u.Requests
		t.PromptTokens += u.PromptTokens
		t.OutputTokens += u.OutputTokens
	}
	return t
}
