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
	Reports string `help:"Base URL of the platform's API for usage reports, to compare the accepted reports with the windows." env:"SHALLOTRAMP_REPORTS"`
	Window  string `arg:"" optional:"" help:"Window to show by organisation; a summary of all windows if left out."`
}

// Run implements the command. It returns an error if the report of a window differs from the window's frozen figures,
// or if these were changed.
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
		list = filterWindow(list, window.ID(c.Window))
		if len(list) == 0 {
			return errors.Newf("there is no window %q; run 'shallotramp usage' to list all windows", c.Window)
		}
	}
	if g.isJSON() {
		if err := g.json(struct{ Windows []window.Summary }{append([]window.Summary{}, list...)}); err != nil {
			return err
		}
	} else {
		c.print(g, list)
	}
	return differenceError(list)
}

func filterWindow(list []window.Summary, id window.ID) []window.Summary {
	for _, s := range list {
		if s.ID == id {
			return []window.Summary{s}
		}
	}
	return nil
}

// differenceError returns an error that names the windows whose report differs from the frozen figures or whose stored
// figures do not match their digest. It returns nil if there are none.
func differenceError(list []window.Summary) error {
	var differing []string
	for _, s := range list {
		if len(s.Difference) > 0 || !s.Intact {
			differing = append(differing, string(s.ID))
		}
	}
	if len(differing) == 0 {
		return nil
	}
	return errors.Newf("in windows %s, the platform's report or the stored figures differ from the frozen figures; compare 'shallotramp usage WINDOW' with the platform's reports and inform the platform's operators", strings.Join(differing, ", "))
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
			fmt.Fprintf(g.stdout, "  counts not read: %s\n", server)
		}
	}
}

// total returns the sum of a window's figures over all organisations.
func total(s window.Summary) (t struct{ Requests, PromptTokens, OutputTokens int64 }) {
	for _, u := range s.Figures {
		t.Requests += u.Requests
		t.PromptTokens += u.PromptTokens
		t.OutputTokens += u.OutputTokens
	}
	return t
}
