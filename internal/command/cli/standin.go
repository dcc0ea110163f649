package cli

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	enginefake "shallotramp/internal/engine/fake"
	platformfake "shallotramp/internal/provider/fake"
)

// StandinCommand runs one stand-in for an outside system: a fake of the platform, of a model engine or of a plain HTTP
// service.
type StandinCommand struct {
	What    string         `arg:"" help:"Which stand-in: platform, engine or service." enum:"platform,engine,service"`
	Listen  netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:0" env:"SHALLOTRAMP_STANDIN_LISTEN"`
	Name    string         `help:"Name of the stand-in." default:"standin" env:"SHALLOTRAMP_STANDIN_NAME"`
	Models  []string       `help:"Models that an engine serves." default:"threadwell-brief" env:"SHALLOTRAMP_STANDIN_MODELS"`
	Slots   int            `help:"Number of requests that an engine runs at once." default:"8" env:"SHALLOTRAMP_STANDIN_SLOTS"`
	Token   time.Duration  `help:"Time that an engine takes for one output token." default:"5ms" env:"SHALLOTRAMP_STANDIN_TOKEN"`
	Prefill time.Duration  `help:"Time that an engine takes for one input token." default:"20us" env:"SHALLOTRAMP_STANDIN_PREFILL"`
}

// Run implements the command. Its first line on stdout is the base URL.
func (c *StandinCommand) Run(g *Globals) error {
	var h http.Handler
	switch c.What {
	case "platform":
		h = platformfake.NewStore().Handler()
	case "engine":
		h = enginefake.NewEngine(enginefake.Config{Name: c.Name, Models: c.Models, Slots: c.Slots, TokenInterval: c.Token, PrefillToken: c.Prefill})
	default:
		h = enginefake.NewService()
	}
	ln, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return err
	}
	if err := g.json(struct{ URL string }{"http://" + ln.Addr().String()}); err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	select {
	case err = <-served:
		return err
	case <-g.ctx.Done():
		return s.Close()
	}
}
