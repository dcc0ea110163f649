package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/trial/workload"
)

// LoadCommand offers traffic from a profile.
type LoadCommand struct {
	Profile string        `arg:"" help:"File of the workload's profile; - for standard input."`
	Targets []string      `help:"Base URLs of callers' listeners; requests go to them in turn." required:"" env:"SHALLOTRAMP_TARGETS"`
	Plot    string        `help:"Write a picture of the latencies to this PNG file." env:"SHALLOTRAMP_PLOT"`
	Drain   time.Duration `help:"Longest wait for open requests after the last was offered." default:"1m" env:"SHALLOTRAMP_LOAD_DRAIN"`
}

// Run implements the command.
func (c *LoadCommand) Run(g *Globals) error {
	in := os.Stdin
	if c.Profile != "-" {
		f, err := os.Open(c.Profile)
		if err != nil {
			return errors.Wrap(err, "name a profile that can be read, or - for standard input")
		}
		defer f.Close()
		in = f
	}
	p, err := workload.ReadProfile(in)
	if err != nil {
		return err
	}
	answers, err := workload.Run(g.ctx, p, workload.Options{Targets: c.Targets, Progress: g.progress("load"), DrainTimeout: c.Drain})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := workload.Plot(answers, c.Plot); err != nil {
			return errors.Wrap(err, "the picture could not be written; choose another --plot")
		}
	}
	r := workload.Summarise(answers, time.Duration(p.Duration))
	if g.isJSON() {
		return g.json(r)
	}
	_, err = fmt.Fprint(g.stdout, r.String())
	return err
}
