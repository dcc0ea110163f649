package cli

import (
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"shallotramp/internal/entry/station"
	"shallotramp/internal/traffic/placement"
	"shallotramp/platform"
)

const (
	// logLines bounds the log lines that wait for standard output; more are dropped and counted.
	logLines = 2048
	// leaseShare is the term of the duties' lease, in percent of the shortest time between two holders: a
	// successor has to find the holder silent first.
	leaseShare = 70
	// memoryShare is the part of the process's limit from which the collector works harder.
	memoryShare = 0.7
)

// EdgeCommand runs a host on the users' platform.
type EdgeCommand struct {
	Settings    string `help:"Path of the platform's settings file." required:"" env:"SHALLOTRAMP_CONFIG"`
	MetricsPort uint16 `help:"Port of the metrics listener." default:"9464" env:"SHALLOTRAMP_METRICS_PORT"`
}

// Run implements the command.
func (c *EdgeCommand) Run(g *Globals) error {
	set, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(g.LogLevel)
	if err != nil {
		return err
	}
	out := diode.NewWriter(os.Stdout, logLines, 0, nil)
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	count := func(string, error) {}
	p := station.Platform{
		Store:       platform.NewStore(set.Store, count),
		Kinds:       station.Kinds{Table: platform.ConfigKind, TableName: platform.ConfigName, Servers: platform.ServersKind},
		DecodeTable: platform.DecodeTable, DecodeServer: platform.DecodeServer, Codec: platform.Codec{},
	}
	if set.ReportsUsage || set.OrdersServers {
		p.Duties = platform.NewDuties(set.Duties, set.Host, count)
	}
	s := station.New(station.Config{
		Host: set.Host, Zone: set.Zone, IP: set.IP, Callers: set.Callers, Ready: set.Ready,
		Metrics: netip.AddrPortFrom(set.IP, c.MetricsPort), FleetPort: set.FleetPort, Seeds: set.Seeds,
		Retry: placement.RetryLimits{Ratio: set.Bounds.RetryRatio, Slack: set.Bounds.RetrySlack, Window: set.Bounds.RetryWindow},
		Grace: set.Bounds.Grace, Apply: set.Bounds.Apply, Term: leaseShare * set.Bounds.Lease / 100, UsageWindow: set.Bounds.UsageWindow, UsageDue: set.Bounds.UsageDue,
		ReportsUsage: set.ReportsUsage, Orders: set.OrdersServers,
	}, p, log)
	return s.Run(g.ctx)
}
