package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
)

// GetCommand prints objects of a release.
type GetCommand struct {
	PlatformFlags
	Kind    string `arg:"" optional:"" help:"Kind of the objects; all kinds if left out."`
	Name    string `arg:"" optional:"" help:"Name of one object."`
	Release uint64 `help:"Number of the release; the newest one if left out." env:"SHALLOTRAMP_RELEASE"`
}

// Run implements the command. Its output can be edited and published again.
func (c *GetCommand) Run(g *Globals) error {
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	e, set, err := release.Load(ctx, st, c.Release)
	if err != nil {
		return err
	}
	var docs []object.Document
	for _, d := range set.Documents() {
		if (c.Kind == "" || strings.EqualFold(c.Kind, d.Kind.String())) && (c.Name == "" || c.Name == d.Name) {
			docs = append(docs, d)
		}
	}
	if len(docs) == 0 && c.Kind != "" {
		return errors.Newf("release %d has no %s %s; run 'shallotramp get' to see all objects", e.Number, c.Kind, c.Name)
	}
	if g.isJSON() {
		return g.json(struct {
			Release uint64
			Objects []object.Document
		}{e.Number, docs})
	}
	fmt.Fprintf(g.stdout, "# Release %d\n", e.Number)
	for i, d := range docs {
		b, err := yaml.Marshal(d)
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(g.stdout, "---")
		}
		fmt.Fprintf(g.stdout, "%s", b)
	}
	return nil
}

// HistoryCommand lists releases.
type HistoryCommand struct {
	PlatformFlags
}

// Run implements the command.
func (c *HistoryCommand) Run(g *Globals) error {
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	head, _, err := release.ReadHead(ctx, st)
	if err != nil {
		return err
	}
	if head.Number == 0 {
		return release.ErrNoRelease
	}
	list := append([]release.Entry{head.Entry}, head.History...)
	if g.isJSON() {
		return g.json(struct{ Releases []release.Entry }{list})
	}
	fmt.Fprintf(g.stdout, "%-8s %-20s %-16s %-12s %s\n", "Release", "Time", "Author", "Digest", "Note")
	for _, e := range list {
		fmt.Fprintf(g.stdout, "%-8d %-20s %-16s %-12s %s\n", e.Number, e.Time.Format(time.DateTime), e.Author, e.Digest[:min(12, len(e.Digest))], e.Note)
	}
	return nil
}

// Change is one difference between two sets of objects.
type Change struct {
	What string
	Kind object.Kind
	Name string
	// Fields names the fields that differ, for a changed object.
	Fields []string `json:",omitempty"`
}

// DiffCommand shows the differences between files and a release, or between two releases.
type DiffCommand struct {
	PlatformFlags
	Files []string `arg:"" optional:"" help:"Files to compare with a release; if left out, two releases are compared."`
	From  uint64   `help:"Release to compare with; the newest one if left out." env:"SHALLOTRAMP_FROM"`
	To    uint64   `help:"Second release, if no files are given; the newest one if left out." env:"SHALLOTRAMP_TO"`
}

// Run implements the command.
func (c *DiffCommand) Run(g *Globals) error {
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	_, from, err := release.Load(ctx, st, c.From)
	if err != nil {
		return err
	}
	var to *object.Set
	if len(c.Files) > 0 {
		to, err = readFiles(c.Files)
	} else {
		_, to, err = release.Load(ctx, st, c.To)
	}
	if err != nil {
		return err
	}
	changes, err := differences(from, to)
	if err != nil {
		return err
	}
	if g.isJSON() {
		return g.json(struct{ Changes []Change }{append([]Change{}, changes...)})
	}
	for _, ch := range changes {
		fmt.Fprintf(g.stdout, "%-8s %-14s %-24s %s\n", ch.What, ch.Kind, ch.Name, strings.Join(ch.Fields, ", "))
	}
	fmt.Fprintf(g.stdout, "%d differences\n", len(changes))
	return nil
}

type documentKey struct {
	kind object.Kind
	name string
}

// differences returns the differences between two sets, ordered by kind and name.
func differences(from, to *object.Set) ([]Change, error) {
	before := map[documentKey]object.Document{}
	for _, d := range from.Documents() {
		before[documentKey{d.Kind, d.Name}] = d
	}
	var out []Change
	for _, d := range to.Documents() {
		k := documentKey{d.Kind, d.Name}
		old, ok := before[k]
		delete(before, k)
		if !ok {
			out = append(out, Change{What: "added", Kind: d.Kind, Name: d.Name})
			continue
		}
		fields, err := changedFields(old, d)
		if err != nil {
			return nil, err
		}
		if len(fields) > 0 {
			out = append(out, Change{What: "changed", Kind: d.Kind, Name: d.Name, Fields: fields})
		}
	}
	for k := range before {
		out = append(out, Change{What: "removed", Kind: k.kind, Name: k.name})
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Name < out[j].Name
	})
	return out, nil
}

func changedFields(a, b object.Document) ([]string, error) {
	fa, err := fieldsOf(a)
	if err != nil {
		return nil, err
	}
	fb, err := fieldsOf(b)
	if err != nil {
		return nil, err
	}
	var out []string
	for name := range fb {
		if !bytes.Equal(fa[name], fb[name]) {
			out = append(out, name)
		}
	}
	for name := range fa {
		if _, ok := fb[name]; !ok {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out, nil
}

func fieldsOf(d object.Document) (map[string]json.RawMessage, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	out := map[string]json.RawMessage{}
	return out, json.Unmarshal(b, &out)
}
