package cli

import (
	"context"
	"math"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/entry/host"
	"shallotramp/internal/ops/trace"
)

// traceFlushTimeout bounds the export of the last spans at shutdown.
const traceFlushTimeout = 5 * time.Second

// ServeCommand runs an entry host.
type ServeCommand struct {
	Name      string         `help:"Name of the host; the machine's host name if empty." env:"SHALLOTRAMP_NAME"`
	Zone      string         `help:"Availability zone of the host." required:"" env:"SHALLOTRAMP_ZONE"`
	Callers   netip.AddrPort `help:"Address of the listener for callers." default:"0.0.0.0:8080" env:"SHALLOTRAMP_CALLERS"`
	Operators netip.AddrPort `help:"Address of the listener for operators." default:"127.0.0.1:8081" env:"SHALLOTRAMP_OPERATORS"`
	PlatformFlags

	FleetListen    netip.AddrPort   `help:"Address of the listener for other hosts." default:"0.0.0.0:7300" env:"SHALLOTRAMP_FLEET_LISTEN"`
	FleetAdvertise netip.AddrPort   `help:"Address at which other hosts reach this one; needed if the listener has an unspecified address such as 0.0.0.0." env:"SHALLOTRAMP_FLEET_ADVERTISE"`
	FleetCert      string           `help:"PEM file with the certificate for the host's name; without certificates there are no links between hosts." type:"path" env:"SHALLOTRAMP_FLEET_CERT"`
	FleetKey       string           `help:"PEM file with the certificate's key." type:"path" env:"SHALLOTRAMP_FLEET_KEY"`
	FleetCA        string           `help:"PEM file with the certificate authority of all hosts." type:"path" env:"SHALLOTRAMP_FLEET_CA"`
	FleetSeeds     []netip.AddrPort `help:"Addresses of hosts from which the others are discovered when the platform's list cannot be read." env:"SHALLOTRAMP_FLEET_SEEDS"`

	Reports     string        `help:"Base URL of the platform's API for usage reports; if empty, usage windows are stored but not reported." env:"SHALLOTRAMP_REPORTS"`
	Ordering    string        `help:"Base URL of the platform's API that starts and stops backend servers; if empty, pools stay as configured." env:"SHALLOTRAMP_ORDERING"`
	UsageWindow time.Duration `help:"Length of a usage window; must be the same on all hosts." default:"1h" env:"SHALLOTRAMP_USAGE_WINDOW"`
	UsageGrace  time.Duration `help:"Time from the end of a usage window until its figures are frozen." default:"2m" env:"SHALLOTRAMP_USAGE_GRACE"`

	DrainDelay    time.Duration `help:"Time at a planned stop from the end of readiness until new requests are refused." default:"5s" env:"SHALLOTRAMP_DRAIN_DELAY"`
	DrainTimeout  time.Duration `help:"Longest wait at a planned stop for open requests to complete." default:"10m" env:"SHALLOTRAMP_DRAIN_TIMEOUT"`
	BodyLimit     int64         `help:"Largest request body, in bytes." default:"8388608" env:"SHALLOTRAMP_BODY_LIMIT"`
	HeaderLimit   int           `help:"Largest request header, in bytes." default:"65536" env:"SHALLOTRAMP_HEADER_LIMIT"`
	ReadTimeout   time.Duration `help:"Longest time in which a request must be read." default:"30s" env:"SHALLOTRAMP_READ_TIMEOUT"`
	TraceSample   float64       `help:"Share of requests that are traced, 0 to 1." default:"0.01" env:"SHALLOTRAMP_TRACE_SAMPLE"`
	TraceEndpoint string        `help:"URL of an OTLP receiver for traces; off if empty." env:"SHALLOTRAMP_TRACE_ENDPOINT"`
	WriteTimeout  time.Duration `help:"Longest time that one write to a caller may take." default:"20s" env:"SHALLOTRAMP_WRITE_TIMEOUT"`
}

// memoryBytes returns the runtime's memory limit, which GOMEMLIMIT sets, or 0 if there is none.
func memoryBytes() int64 {
	if n := debug.SetMemoryLimit(-1); n < math.MaxInt64 {
		return n
	}
	return 0
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
	st, err := c.client()
	if err != nil {
		return err
	}
	stop, err := trace.Start(g.ctx, trace.Config{Host: name, Zone: c.Zone, SampleRatio: c.TraceSample, Endpoint: c.TraceEndpoint})
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = stop(ctx)
	}()
	h, err := host.New(host.Config{
		Name: name, Zone: c.Zone, Callers: c.Callers, Operators: c.Operators,
		DrainDelay: c.DrainDelay, DrainTimeout: c.DrainTimeout,
		Limits:      gateway.Limits{MaxBodyBytes: c.BodyLimit, MaxHeaderBytes: c.HeaderLimit, ReadTimeout: c.ReadTimeout, WriteTimeout: c.WriteTimeout},
		MemoryBytes: memoryBytes(),
		OrderingURL: c.Ordering,
		Usage:       host.UsageConfig{ReportsURL: c.Reports, Window: c.UsageWindow, Grace: c.UsageGrace},
		Fleet: host.FleetConfig{
			Listen: c.FleetListen, Advertise: c.FleetAdvertise, CertFile: c.FleetCert, KeyFile: c.FleetKey, CAFile: c.FleetCA, Seeds: c.FleetSeeds,
		},
	}, st, g.logger())
	if err != nil {
		return err
	}
	return h.Run(g.ctx)
}
