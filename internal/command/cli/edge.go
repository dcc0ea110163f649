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

	"shallotramp/internal/entry/admission"
	"shallotramp/internal/entry/edgehost"
	"shallotramp/internal/ops/log"
	"shallotramp/internal/ops/trace"
	"shallotramp/internal/traffic/placement"
	"shallotramp/platform"
)

const (
	// leaseTermPercent is the term of the duties lease, see [edgehost.Duties], in percent of the shortest time between two
	// holders. It is below 100 because a successor must first notice that the holder no longer renews the lease.
	leaseTermPercent = 70
	// edgeFlushTimeout bounds the export of the last spans at shutdown.
	edgeFlushTimeout = 300 * time.Millisecond
	// settingsInterval is how often the settings file is checked for changes, as it may change without a SIGHUP.
	settingsInterval = 2 * time.Second
	// memoryLimitRatio is the Go runtime's soft memory limit as a part of the process's memory limit. Above it, the
	// garbage collector runs more often, so that the process stays below its limit.
	memoryLimitRatio = 0.7
	// bufferRatio is the part of the memory limit that buffered responses and what callers send may use.
	bufferRatio = 0.25
)

// EdgeCommand runs a host on the users' platform.
type EdgeCommand struct {
	Settings    string `help:"Path of the platform's settings file." required:"" env:"SHALLOTRAMP_CONFIG"`
	MetricsPort uint16 `help:"Port of the metrics listener." default:"9464" env:"SHALLOTRAMP_METRICS_PORT"`

	TraceEndpoint string  `help:"URL of an OTLP receiver for traces; off if empty." env:"SHALLOTRAMP_TRACE_ENDPOINT"`
	TraceSample   float64 `help:"Share of requests that are traced, 0 to 1." default:"0.01" env:"SHALLOTRAMP_TRACE_SAMPLE"`
}

// Run implements the command.
func (c *EdgeCommand) Run(g *Globals) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(g.LogLevel)
	if err != nil {
		return err
	}
	logs := log.New(os.Stdout, level)
	defer func() { _ = logs.Close() }() // If this fails, stdout is closed and the error cannot be logged.
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	stopTrace, err := trace.Start(g.ctx, trace.Config{Host: settings.Host, Zone: settings.Zone, SampleRatio: c.TraceSample, Endpoint: c.TraceEndpoint})
	if err != nil {
		return err
	}
	s := edgehost.New(c.config(settings), c.platform(settings), logs)
	watchDone := make(chan error, 1)
	// The settings are watched until the host has stopped, so that a SIGHUP does not end the process during shutdown.
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(g.ctx))
	go c.watchSettings(watchCtx, g.reload, settings, s, logs.Process, watchDone)
	err = s.Run(g.ctx)
	stopWatch()
	flushCtx, cancel := context.WithTimeout(context.Background(), edgeFlushTimeout)
	defer cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-watchDone, stopTrace(flushCtx)))
}

// platform returns the host's connection to the platform that the settings name.
func (c *EdgeCommand) platform(settings platform.Settings) edgehost.Platform {
	p := edgehost.Platform{
		Store:       platform.NewStore(settings.StoreAddr, edgehost.CountCall),
		Kinds:       edgehost.Kinds{Table: platform.ConfigKind, TableName: platform.ConfigName, Servers: platform.ServersKind, Evacuations: platform.EvacuationsKind},
		DecodeTable: platform.DecodeTable, DecodeServer: platform.DecodeServer, Codec: platform.Codec{},
	}
	if settings.ReportsUsage || settings.OrdersServers {
		p.Duties = platform.NewDuties(settings.DutiesAddr, settings.Host, edgehost.CountCall)
	}
	return p
}

// config returns the configuration of the host for the platform's settings.
func (c *EdgeCommand) config(settings platform.Settings) edgehost.Config {
	b := settings.Bounds
	return edgehost.Config{
		Host: settings.Host, Zone: settings.Zone, IP: settings.IP, CallersAddr: settings.CallersAddr, ReadyAddr: settings.ReadyAddr,
		MetricsAddr: netip.AddrPortFrom(settings.IP, c.MetricsPort), FleetPort: settings.FleetPort, Seeds: settings.Seeds, LinkMbps: settings.LinkMbps, FirstStart: settings.FirstStart,
		BufferBytes: int64(bufferRatio * float64(settings.MemoryBytes)), MaxConns: admission.Conns(settings.MemoryBytes, settings.MaxFds),
		Retry: placement.RetryLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow},
		Grace: b.Grace, ApplyTimeout: b.ApplyTimeout, EntryLifetime: settings.EntryLifetime, LeaseTerm: leaseTermPercent * b.LeaseDuration / 100, UsageWindow: b.UsageWindow, UsageDue: b.UsageDue,
		ReportsUsage: settings.ReportsUsage, OrdersServers: settings.OrdersServers,
		ColdOvershoot: b.ColdOvershoot, ColdAllowance: b.ColdAllowance, EvacuateTimeout: b.EvacuateTimeout,
	}
}

// watchSettings reloads the settings on SIGHUP or when the settings file has changed. It sends nil on done when ctx ends.
func (c *EdgeCommand) watchSettings(ctx context.Context, hup <-chan os.Signal, settings platform.Settings, s *edgehost.Host, log zerolog.Logger, done chan<- error) {
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
		case cause == "SIGHUP" || !reflect.DeepEqual(settings, next):
			settings = next
			s.Reload(c.config(settings), cause)
		}
	}
}
