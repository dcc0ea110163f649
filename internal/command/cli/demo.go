package cli

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"

	"shallotramp/internal/trial/demo"
)

// DemoCommand runs a whole deployment in one process, with fakes of outside systems.
type DemoCommand struct {
	Listen   netip.AddrPort `help:"Address of the first host's listener for callers; the other listeners use the ports after it. With port 0 the system chooses the ports." default:"127.0.0.1:0" env:"SHALLOTRAMP_DEMO_LISTEN"`
	Duration time.Duration  `help:"Send load with a burst above capacity and one fault for this long, then report and exit. Without it the demo runs until it is interrupted." env:"SHALLOTRAMP_DEMO_DURATION"`
}

// Run implements the command.
func (c *DemoCommand) Run(g *Globals) error {
	if c.Duration < 0 {
		return errors.New("--duration is negative; use a duration such as 20s")
	}
	d, err := demo.Start(g.ctx, c.Listen, g.logger())
	if err != nil {
		return err
	}
	if err := c.printAddresses(g, d.Addresses); err != nil {
		return errors.CombineErrors(err, d.Stop())
	}
	if c.Duration == 0 {
		<-g.ctx.Done()
		return d.Stop()
	}
	r, err := d.Run(g.ctx, c.Duration, g.progress("load"))
	err = errors.CombineErrors(err, d.Stop())
	if err != nil {
		return err
	}
	if g.isJSON() {
		err = g.json(r)
	} else {
		_, err = fmt.Fprintf(g.stdout, "%sWasted %d of %d tokens, spend %.4f, usage differences %d, double runs %d (%s)\n",
			r.String(), r.WastedTokens, r.OutputTokens, r.Spend, r.UsageDifferences, r.DoubleRuns, r.Fault)
	}
	if err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errors.Newf("an invariant was violated: %s; start a new run with --log-level debug to see what led to it", strings.Join(r.Violations, "; "))
	}
	return nil
}

func (c *DemoCommand) printAddresses(g *Globals, a demo.Addresses) error {
	if g.isJSON() {
		return g.json(a)
	}
	fmt.Fprintf(g.stdout, "%-10s %s\n%-10s %s\n%-10s %s\n", "Callers", strings.Join(a.Callers, " "), "Operators", strings.Join(a.Operators, " "), "Platform", a.Platform)
	for _, kind := range []struct {
		name string
		m    map[string]string
	}{{"Key", a.Keys}, {"Stand-in", a.StandIns}} {
		names := make([]string, 0, len(kind.m))
		for n := range kind.m {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			fmt.Fprintf(g.stdout, "%-10s %-18s %s\n", kind.name, n, kind.m[n])
		}
	}
	fmt.Fprintf(g.stdout, "\nTry:  curl %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"threadwell-brief\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a wardrobe in Leicester\"}]}'\n",
		a.Callers[0], a.Keys["threadwell-direct"])
	return nil
}

// progressDelay is how long a command runs before it prints its progress.
const progressDelay = 2 * time.Second

// progress returns a function that prints the progress of task if stderr is a terminal. Its argument is the part done,
// from 0 to 1.
func (g *Globals) progress(task string) func(float64) {
	f, ok := g.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func(float64) {}
	}
	start := time.Now()
	return func(done float64) {
		if time.Since(start) < progressDelay {
			return
		}
		fmt.Fprintf(f, "\r%s %3.0f%%", task, 100*done)
		if done >= 1 {
			fmt.Fprintln(f)
		}
	}
}
