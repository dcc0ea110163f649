package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/entry/console"
)

// SuspectsCommand lists and lifts the marks of requests that crash backend servers.
type SuspectsCommand struct {
	List SuspectsListCommand `cmd:"" default:"withargs" help:"List the marks of all named hosts."`
	Lift SuspectsLiftCommand `cmd:"" help:"Lift a mark on all named hosts, so that the request is tried again."`
}

// SuspectsListCommand lists marks.
type SuspectsListCommand struct {
	HostFlags
}

// Run implements the command. A host that does not answer is an error after the list.
func (c *SuspectsListCommand) Run(g *Globals) error {
	found := map[string]console.SuspectEntry{}
	var failed error
	for _, base := range c.Hosts {
		var list []console.SuspectEntry
		_, err := ask(g.ctx, base, "/suspects", &list)
		failed = errors.CombineErrors(failed, err)
		for _, m := range list {
			if old, ok := found[m.Fingerprint]; !ok || m.Total > old.Total {
				found[m.Fingerprint] = m
			}
		}
	}
	marks := make([]console.SuspectEntry, 0, len(found))
	for _, m := range found {
		marks = append(marks, m)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].Last.After(marks[j].Last) })
	if g.isJSON() {
		return errors.CombineErrors(failed, g.json(struct{ Marks []console.SuspectEntry }{marks}))
	}
	fmt.Fprintf(g.stdout, "%-18s %7s %-8s %s\n", "Fingerprint", "Crashes", "Verdict", "Last")
	for _, m := range marks {
		fmt.Fprintf(g.stdout, "%-18s %7d %-8s %s\n", m.Fingerprint, m.Total, m.Verdict, m.Last.UTC().Format(time.DateTime))
	}
	return failed
}

// SuspectsLiftCommand lifts a mark. It must reach all hosts, for each tells the others of its own marks.
type SuspectsLiftCommand struct {
	HostFlags
	Fingerprint string `arg:"" help:"Fingerprint of the request, from the list."`
}

// Run implements the command.
func (c *SuspectsLiftCommand) Run(g *Globals) error {
	var failed error
	for _, base := range c.Hosts {
		failed = errors.CombineErrors(failed, lift(g.ctx, base, c.Fingerprint))
	}
	if failed != nil {
		return errors.Wrap(failed, "the mark stands on a host; run the command again when all hosts answer")
	}
	fmt.Fprintf(g.stderr, "mark %s lifted on %d hosts\n", c.Fingerprint, len(c.Hosts))
	return nil
}

func lift(ctx context.Context, base, fingerprint string) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + "/suspects?Fingerprint=" + url.QueryEscape(fingerprint)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return errors.Wrap(err, "name hosts as http://IP:PORT")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "host %s does not answer", base)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return errors.Newf("host %s answered %s; check the fingerprint", base, res.Status)
	}
	return nil
}
