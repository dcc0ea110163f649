package cli

import (
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/platform/soak"
)

// SoakCommand runs hosts as processes under random faults and checks invariants.
type SoakCommand struct {
	Seed  uint64        `help:"First seed; the same seed always gives the same faults." default:"1" env:"SHALLOTRAMP_SEED"`
	Seeds int           `help:"Number of seeds to run, one after the other." default:"1" env:"SHALLOTRAMP_SEEDS"`
	For   time.Duration `help:"How long faults are injected, for each seed." default:"20s" env:"SHALLOTRAMP_FOR"`
	Hosts int           `help:"Number of hosts." default:"4" env:"SHALLOTRAMP_HOSTS"`
	Net   int           `help:"Second octet of the loopback addresses that are used; runs at the same time need different ones." default:"77" env:"SHALLOTRAMP_NET"`
	Only  string        `help:"Regular expression; only faults whose names match are injected." env:"SHALLOTRAMP_ONLY"`
	Plot  string        `help:"PNG file for a plot of the last seed's faults and responses." type:"path" env:"SHALLOTRAMP_PLOT"`
}

// Run implements the command.
func (c *SoakCommand) Run(g *Globals) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	var only *regexp.Regexp
	if c.Only != "" {
		if only, err = regexp.Compile(c.Only); err != nil {
			return errors.Wrap(err, "the value of --only is not a valid regular expression; correct it")
		}
	}
	failedSeeds := 0
	for i := range c.Seeds {
		rep, err := soak.Run(g.ctx, soak.Config{
			Binary: binary, Seed: c.Seed + uint64(i), Length: c.For, Hosts: c.Hosts, Net: c.Net, Only: only, Log: g.logger(),
		})
		if err != nil {
			return err
		}
		if len(rep.Broken) > 0 {
			failedSeeds++
		}
		if err := c.printReport(g, rep); err != nil {
			return err
		}
	}
	if failedSeeds > 0 {
		return errors.Newf("%d of %d seeds violated an invariant; run one of them again with --seed and read its logs", failedSeeds, c.Seeds)
	}
	return nil
}

// printReport writes the report of a seed: one line and, if an invariant was violated, the faults with their times.
func (c *SoakCommand) printReport(g *Globals, rep soak.Report) error {
	if c.Plot != "" {
		if err := soak.Plot(rep, c.Plot); err != nil {
			return err
		}
	}
	if g.isJSON() {
		return g.json(rep)
	}
	if _, err := fmt.Fprintf(g.stdout, "seed %d: %d requests %v, %d faults, %d usage windows, %d exits, broken: %v %s\n",
		rep.Seed, rep.Asked, rep.Answers, len(rep.Faults), rep.Windows, rep.Exits, rep.Broken, rep.Logs); err != nil {
		return err
	}
	if len(rep.Broken) == 0 {
		return nil
	}
	for _, f := range rep.Faults {
		if _, err := fmt.Fprintf(g.stdout, "  %6.1f to %6.1f s  %s\n", f.From.Seconds(), f.To.Seconds(), f.Name); err != nil {
			return err
		}
	}
	return nil
}
