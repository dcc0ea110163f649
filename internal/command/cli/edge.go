package cli

import (
	"context"
	"net/netip"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/entry/station"
	"shallotramp/internal/ops/log"
	"shallotramp/internal/ops/trace"
	"shallotramp/internal/traffic/placement"
	"shallotramp/platform"
)

const (
	// leaseShare is the term of the duties' lease, in percent of the shortest time between two holders: a
	// successor has to find the holder silent first.
	leaseShare = 70
	// flushTime bounds the sending of the last spans.
	flushTime = 300 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file, which may change without a signal.
	settingsInterval = 2 * time.Second
	// memoryShare is the part of the process's limit from which the collector works harder.
	memoryShare = 0.7
)

// EdgeCommand runs a host on the users' platform.
type EdgeCommand struct {
	Settings    string `help:"Path of the platform's settings file." required:"" env:"SHALLOTRAMP_CONFIG"`
	MetricsPort uint16 `help:"Port of the metrics listener." default:"9464" env:"SHALLOTRAMP_METRICS_PORT"`

	TraceEndpoint string  `help:"URL of an OTLP receiver of spans; empty turns tracing off." env:"SHALLOTRAMP_TRACE_ENDPOINT"`
	TraceSample   float64 `help:"Share of requests that are traced." default:"0.01" env:"SHALLOTRAMP_TRACE_SAMPLE"`
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
	lines := log.New(os.Stdout, level)
	defer func() { _ = lines.Close() }() // Standard output is gone if this fails: nobody could be told.
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	stopTrace, err := trace.Start(g.ctx, trace.Config{Host: set.Host, Zone: set.Zone, SampleRatio: c.TraceSample, Endpoint: c.TraceEndpoint})
	if err != nil {
		return err
	}
	s := station.New(c.config(set), c.platform(set), lines)
	watched := make(chan error, 1)
	// Settings are read again until the end: a signal for it must not end a process that is stopping.
	reload, end := context.WithCancel(context.WithoutCancel(g.ctx))
	go c.watch(reload, g.reload, set, s, lines.Process, watched)
	err = s.Run(g.ctx)
	end()
	flush, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-watched, stopTrace(flush)))
}

// platform connects the host with the platform that the settings name.
func (c *EdgeCommand) platform(set platform.Settings) station.Platform {
	p := station.Platform{
		Store:       platform.NewStore(set.StoreAddr, station.CountCall),
		Kinds:       station.Kinds{Table: platform.ConfigKind, TableName: platform.ConfigName, Servers: platform.ServersKind},
		DecodeTable: platform.DecodeTable, DecodeServer: platform.DecodeServer, Codec: platform.Codec{},
	}
	if set.ReportsUsage || set.OrdersServers {
		p.Duties = platform.NewDuties(set.DutiesAddr, set.Host, station.CountCall)
	}
	return p
}

// config translates the platform's settings into the host's.
func (c *EdgeCommand) config(set platform.Settings) station.Config {
	b := set.Bounds
	return station.Config{
		Host: set.Host, Zone: set.Zone, IP: set.IP, CallersAddr: set.CallersAddr, ReadyAddr: set.ReadyAddr,
		MetricsAddr: netip.AddrPortFrom(set.IP, c.MetricsPort), FleetPort: set.FleetPort, Seeds: set.Seeds, LinkMbps: set.LinkMbps,
		Retry: placement.RetryLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow},
		Grace: b.Grace, ApplyTimeout: b.ApplyTimeout, LeaseTerm: leaseShare * b.LeaseDuration / 100, UsageWindow: b.UsageWindow, UsageDue: b.UsageDue,
		ReportsUsage: set.ReportsUsage, OrdersServers: set.OrdersServers,
	}
}

// watch reads the settings again at SIGHUP and when the file has changed without it.
func (c *EdgeCommand) watch(ctx context.Context, hup <-chan os.Signal, set platform.Settings, s *station.Host, log zerolog.Logger, done chan<- error) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		cause := "SIGHUP"
		select {
		case <-hup:
		case <-t.C:
			cause = "FileChanged"
		case <-ctx.Done():
			done <- nil
			return
		}
		next, err := platform.ReadSettings(c.Settings)
		switch {
		case err != nil:
			log.Error().Str("Event", "ReloadFailed").Str("Cause", cause).Err(err).Send()
		case cause == "SIGHUP" || !reflect.DeepEqual(set, next):
			set = next
			s.Reload(c.config(set), cause)
		}
	}
}
