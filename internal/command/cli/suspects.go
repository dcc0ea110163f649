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

// SuspectsCommand lists requests that are marked as crashing backend servers, and lifts such marks.
type SuspectsCommand struct {
	List SuspectsListCommand `cmd:"" default:"withargs" help:"List the marks on all hosts of --hosts."`
	Lift SuspectsLiftCommand `cmd:"" help:"Lift a mark on all hosts of --hosts, so that the request may run again."`
}

// SuspectsListCommand lists marks.
type SuspectsListCommand struct {
	HostFlags
}

// Run implements the command. If a host does not respond, it returns an error after it has printed the list.
func (c *SuspectsListCommand) Run(g *Globals) error {
	byFingerprint := map[string]console.SuspectEntry{}
	var hostErrs error
	for _, base := range c.Hosts {
		var list []console.SuspectEntry
		_, err := getFromHost(g.ctx, base, "/suspects", &list)
		hostErrs = errors.CombineErrors(hostErrs, err)
		for _, m := range list {
			if old, ok := byFingerprint[m.Fingerprint]; !ok || m.Total > old.Total {
				byFingerprint[m.Fingerprint] = m
			}
		}
	}
	marks := make([]console.SuspectEntry, 0, len(byFingerprint))
	for _, m := range byFingerprint {
		marks = append(marks, m)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].Last.After(marks[j].Last) })
	if g.isJSON() {
		return errors.CombineErrors(hostErrs, g.json(struct{ Marks []console.SuspectEntry }{marks}))
	}
	fmt.Fprintf(g.stdout, "%-18s %7s %-8s %s\n", "Fingerprint", "Crashes", "Verdict", "Last")
	for _, m := range marks {
		fmt.Fprintf(g.stdout, "%-18s %7d %-8s %s\n", m.Fingerprint, m.Total, m.Verdict, m.Last.UTC().Format(time.DateTime))
	}
	return hostErrs
}

// SuspectsLiftCommand lifts a mark. It must reach all hosts, as each host sends its own marks to the others.
type SuspectsLiftCommand struct {
	HostFlags
	Fingerprint string `arg:"" help:"Fingerprint of the request, from the list."`
}

// Run implements the command.
func (c *SuspectsLiftCommand) Run(g *Globals) error {
	var hostErrs error
	for _, base := range c.Hosts {
		hostErrs = errors.CombineErrors(hostErrs, liftMark(g.ctx, base, c.Fingerprint))
	}
	if hostErrs != nil {
		return errors.Wrap(hostErrs, "the mark was not lifted on all hosts; run the command again when all hosts respond")
	}
	fmt.Fprintf(g.stderr, "mark %s lifted on %d hosts\n", c.Fingerprint, len(c.Hosts))
	return nil
}

func liftMark(ctx context.Context, base, fingerprint string) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + "/suspects?Fingerprint=" + url.QueryEscape(fingerprint)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return errors.Wrap(err, "the host's URL is invalid; use http://IP:PORT")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "request to host %s failed; check that the host runs", base)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return errors.Newf("host %s responded with status %s; check the fingerprint", base, res.Status)
	}
	return nil
}
