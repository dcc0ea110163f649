package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/trial/workload"
)

// LoadCommand sends the traffic of a workload profile.
type LoadCommand struct {
	Profile string        `arg:"" help:"File with the workload profile; - for standard input."`
	Targets []string      `help:"Base URLs of the hosts' listeners for callers; requests are sent to them in turn." required:"" env:"SHALLOTRAMP_TARGETS"`
	Plot    string        `help:"Write a plot of the latencies to this PNG file." env:"SHALLOTRAMP_PLOT"`
	Drain   time.Duration `help:"Longest wait for open requests after the last one was sent." default:"1m" env:"SHALLOTRAMP_LOAD_DRAIN"`
}

// Run implements the command.
func (c *LoadCommand) Run(g *Globals) error {
	in := os.Stdin
	if c.Profile != "-" {
		f, err := os.Open(c.Profile)
		if err != nil {
			return errors.Wrap(err, "the workload profile cannot be opened; name a readable file, or - for standard input")
		}
		defer f.Close()
		in = f
	}
	p, err := workload.ReadProfile(in)
	if err != nil {
		return err
	}
	results, err := workload.Run(g.ctx, p, workload.Options{Targets: c.Targets, Progress: g.progress("load"), DrainTimeout: c.Drain})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := workload.Plot(results, c.Plot); err != nil {
			return errors.Wrap(err, "the plot could not be written; choose another file for --plot")
		}
	}
	r := workload.Summarise(results, time.Duration(p.Duration))
	if g.isJSON() {
		return g.json(r)
	}
	_, err = fmt.Fprint(g.stdout, r.String())
	return err
}
