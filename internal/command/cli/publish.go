package cli

import (
	"context"
	"crypto/x509"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/provider/store"
)

// platformTimeout bounds the platform calls of one command.
const platformTimeout = 30 * time.Second

// PlatformFlags tell how to reach the platform.
type PlatformFlags struct {
	Platform          string `help:"Base URL of the platform's object API." required:"" env:"SHALLOTRAMP_PLATFORM"`
	PlatformTokenFile string `help:"File with the bearer token for the platform; it is read for each call, so the token may change." type:"path" env:"SHALLOTRAMP_PLATFORM_TOKEN_FILE"`
	PlatformCA        string `help:"PEM file with the certificate authority of the platform; the system's authorities if empty." type:"path" env:"SHALLOTRAMP_PLATFORM_CA"`
}

// client returns a client of the platform.
func (f *PlatformFlags) client() (store.Store, error) {
	var opts []store.Option
	if f.PlatformTokenFile != "" {
		opts = append(opts, store.WithTokenFile(f.PlatformTokenFile))
	}
	if f.PlatformCA != "" {
		pem, err := os.ReadFile(f.PlatformCA)
		if err != nil {
			return nil, errors.Wrap(err, "the platform's certificate authority cannot be read; check --platform-ca")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("the file of --platform-ca has no certificate; use a PEM file")
		}
		opts = append(opts, store.WithRootCAs(pool))
	}
	return store.NewClient(f.Platform, opts...), nil
}

// open returns a client and a context for the platform calls of one command.
func (f *PlatformFlags) open(g *Globals) (context.Context, context.CancelFunc, store.Store, error) {
	st, err := f.client()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(g.ctx, platformTimeout)
	return ctx, cancel, st, nil
}

// WaitFlags make a command wait until its release is accepted.
type WaitFlags struct {
	Wait time.Duration `help:"Longest wait until the release is accepted, that is, in force on all hosts that serve requests with API keys." env:"SHALLOTRAMP_WAIT"`
}

func (f *WaitFlags) wait(g *Globals, p *PlatformFlags, e release.Entry) error {
	if f.Wait <= 0 {
		return nil
	}
	return waitAccepted(g, p, e, f.Wait)
}

// readFiles reads the objects of all files into one set; "-" is standard input.
func readFiles(files []string) (*object.Set, error) {
	s := object.NewSet()
	var errs []error
	for _, name := range files {
		var r io.ReadCloser = os.Stdin
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, errors.Wrap(err, "the file of objects cannot be opened; name a file that can be read, or - for standard input")
			}
			r = f
		}
		errs = append(errs, object.Read(s, name, r)...)
		_ = r.Close()
	}
	if len(errs) == 0 {
		return s, nil
	}
	text := fmt.Sprintf("%d errors in the files of objects:", len(errs))
	for _, e := range errs {
		text += "\n  " + e.Error()
	}
	return nil, errors.New(text)
}

// CheckCommand validates a set of objects offline.
type CheckCommand struct {
	Files []string `arg:"" help:"Files of objects, in YAML or JSON; - for standard input."`
}

// Run implements the command.
func (c *CheckCommand) Run(g *Globals) error {
	s, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	findings := s.Check()
	if g.isJSON() {
		if err := g.json(struct{ Findings []object.Finding }{append([]object.Finding{}, findings...)}); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintf(g.stdout, "%s: %s\n", f.Severity, f.Error())
		}
		fmt.Fprintf(g.stdout, "%d objects, %d findings\n", len(s.Documents()), len(findings))
	}
	if object.Refused(findings) {
		return errors.New("the set cannot be published; correct the findings marked Refusal")
	}
	return nil
}

// PublishCommand publishes a set of objects.
type PublishCommand struct {
	PlatformFlags
	Files  []string `arg:"" help:"Files of objects, in YAML or JSON; - for standard input."`
	Base   *uint64  `help:"Release that the change is based on; the newest one if left out." env:"SHALLOTRAMP_BASE"`
	Author string   `help:"Author of the release; the current user's name if empty." env:"SHALLOTRAMP_AUTHOR"`
	Note   string   `help:"Reason for the change." env:"SHALLOTRAMP_NOTE"`
	WaitFlags
}

// Run implements the command.
func (c *PublishCommand) Run(g *Globals) error {
	s, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	base := uint64(0)
	if c.Base != nil {
		base = *c.Base
	} else {
		head, _, err := release.ReadHead(ctx, st)
		if err != nil {
			return err
		}
		base = head.Number
	}
	e, err := release.Publish(ctx, st, release.Publication{Base: base, Set: s, Author: authorOrUser(c.Author), Note: c.Note}, time.Now().UTC())
	if err != nil {
		return err
	}
	if g.isJSON() {
		err = g.json(e)
	} else {
		_, err = fmt.Fprintf(g.stdout, "release %d published (%d chunks)\n", e.Number, len(e.Chunks))
	}
	if err != nil {
		return err
	}
	return c.wait(g, &c.PlatformFlags, e)
}

func authorOrUser(flag string) string {
	if flag != "" {
		return flag
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
