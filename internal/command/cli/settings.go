package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

//go:generate sh -c "go run ../../../cmd/shallotramp settings > ../../../docs/operate/settings.md"

// SettingsCommand writes the page of all flags and environment variables.
type SettingsCommand struct{}

// Run implements the command.
func (c *SettingsCommand) Run(g *Globals, k *kong.Kong) error {
	w := &pageWriter{w: g.stdout}
	w.printf("# Settings\n\nMade by `go generate` from the command line; do not edit.\n")
	w.flags("all commands", "", k.Model.Flags)
	for _, leaf := range k.Model.Leaves(true) {
		w.flags("shallotramp "+leaf.Path(), leaf.Help, leaf.Flags)
	}
	return w.err
}

// pageWriter writes lines until the first failure.
type pageWriter struct {
	w   io.Writer
	err error
}

func (p *pageWriter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *pageWriter) flags(title, help string, flags []*kong.Flag) {
	title = strings.Join(strings.Fields(strings.ReplaceAll(title, "shallotramp shallotramp", "shallotramp")), " ")
	p.printf("\n## %s\n", title)
	if help != "" {
		p.printf("\n%s\n", help)
	}
	var rows []string
	for _, f := range flags {
		if f.Hidden || f.Name == "help" {
			continue
		}
		def := f.Default
		if f.Required {
			def = "required"
		}
		rows = append(rows, fmt.Sprintf("| `--%s` | %s | %s | %s |\n", f.Name, code(strings.Join(f.Envs, ", ")), code(def), f.Help))
	}
	if len(rows) == 0 {
		return
	}
	p.printf("\n| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |\n%s", strings.Join(rows, ""))
}

func code(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
