package cli

import (
	"net/netip"
	"os"
	"time"

	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/entry/host"
	"shallotramp/internal/platform/store"
)

// ServeCommand runs an entry host.
type ServeCommand struct {
	Name         string         `help:"Name of the host; the machine's name if empty." env:"SHALLOTRAMP_NAME"`
	Zone         string         `help:"Availability zone of the host." required:"" env:"SHALLOTRAMP_ZONE"`
	Callers      netip.AddrPort `help:"Address of the callers' listener." default:"0.0.0.0:8080" env:"SHALLOTRAMP_CALLERS"`
	Operators    netip.AddrPort `help:"Address of the operators' listener." default:"127.0.0.1:8081" env:"SHALLOTRAMP_OPERATORS"`
	Platform     string         `help:"Base URL of the platform's object API." required:"" env:"SHALLOTRAMP_PLATFORM"`
	DrainDelay   time.Duration  `help:"Time between readiness off and the end of new requests at a planned stop." default:"5s" env:"SHALLOTRAMP_DRAIN_DELAY"`
	DrainTimeout time.Duration  `help:"Longest wait for open requests at a planned stop." default:"10m" env:"SHALLOTRAMP_DRAIN_TIMEOUT"`
	BodyLimit    int64          `help:"Largest body of a request, in bytes." default:"8388608" env:"SHALLOTRAMP_BODY_LIMIT"`
	HeaderLimit  int            `help:"Largest header of a request, in bytes." default:"65536" env:"SHALLOTRAMP_HEADER_LIMIT"`
	ReadTimeout  time.Duration  `help:"Longest time to read a request." default:"30s" env:"SHALLOTRAMP_READ_TIMEOUT"`
	WriteTimeout time.Duration  `help:"Longest time of one write to a caller." default:"20s" env:"SHALLOTRAMP_WRITE_TIMEOUT"`
}

// Run implements the command.
func (c *ServeCommand) Run(g *Globals) error {
	name := c.Name
	if name == "" {
		var err error
		if name, err = os.Hostname(); err != nil {
			return err
		}
	}
	h, err := host.New(host.Config{
		Name: name, Zone: c.Zone, Callers: c.Callers, Operators: c.Operators,
		DrainDelay: c.DrainDelay, DrainTimeout: c.DrainTimeout,
		Limits: gateway.Limits{BodyBytes: c.BodyLimit, HeaderBytes: c.HeaderLimit, ReadTime: c.ReadTimeout, WriteStall: c.WriteTimeout},
	}, store.NewClient(c.Platform), g.logger())
	if err != nil {
		return err
	}
	return h.Run(g.ctx)
}
