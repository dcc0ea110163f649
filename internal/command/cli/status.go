package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/entry/console"
	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/provider/store"
)

// waitInterval is how often a command that waits reads the state of the zones.
const waitInterval = 500 * time.Millisecond

// StatusCommand shows in which zones the newest release is in force.
type StatusCommand struct {
	PlatformFlags
	Hosts []string `help:"Base URLs of the hosts' listeners for operators, to show the hosts' own status too." env:"SHALLOTRAMP_HOSTS"`
}

// HostStatus is the status that one host reports, or the error of the request for it.
type HostStatus struct {
	URL    string
	Error  string          `json:",omitempty"`
	Status *console.Status `json:",omitempty"`
}

// Run implements the command.
func (c *StatusCommand) Run(g *Globals) error {
	ctx, cancel, st, err := c.open(g)
	if err != nil {
		return err
	}
	defer cancel()
	v, err := evaluateNewest(ctx, st, time.Now())
	if err != nil {
		return err
	}
	var hosts []HostStatus
	for _, url := range c.Hosts {
		status := HostStatus{URL: url}
		var s console.Status
		if found, err := getFromHost(ctx, url, "/status", &s); err != nil || !found {
			status.Error = fmt.Sprint(err)
		} else {
			status.Status = &s
		}
		hosts = append(hosts, status)
	}
	if g.isJSON() {
		return g.json(struct {
			acceptance.Verdict
			Hosts []HostStatus `json:",omitempty"`
		}{v, hosts})
	}
	printVerdict(g, v)
	for _, h := range hosts {
		if h.Status == nil {
			fmt.Fprintf(g.stdout, "%-28s %s\n", h.URL, h.Error)
			continue
		}
		s := h.Status
		fmt.Fprintf(g.stdout, "%-28s %-12s zone %-10s release %-5d ready %-5t draining %-5t open %d\n", h.URL, s.Host, s.Zone, s.Release, s.Ready, s.Draining, s.Open)
	}
	return nil
}

func printVerdict(g *Globals, v acceptance.Verdict) {
	state := "accepted: in force on all hosts that serve requests with API keys"
	if !v.Accepted {
		state = "committed, not accepted yet; will be accepted at the latest at " + v.By.UTC().Format(time.DateTime)
	}
	fmt.Fprintf(g.stdout, "release %d %s\n", v.Release, state)
	for _, z := range v.Zones {
		fmt.Fprintf(g.stdout, "%-14s %-8s release %-5d", z.Zone, z.State, z.Release)
		if len(z.Missing) > 0 {
			fmt.Fprintf(g.stdout, " missing %s", strings.Join(z.Missing, ", "))
		}
		if !z.Until.IsZero() {
			fmt.Fprintf(g.stdout, " an earlier release may serve requests with API keys until %s", z.Until.UTC().Format(time.DateTime))
		}
		fmt.Fprintln(g.stdout)
	}
}

// evaluateNewest determines whether the newest release is accepted, and its state in each zone.
func evaluateNewest(ctx context.Context, st store.Store, now time.Time) (acceptance.Verdict, error) {
	head, set, err := release.Load(ctx, st, 0)
	if err != nil {
		return acceptance.Verdict{}, err
	}
	in := acceptance.Input{Release: head.Number, Committed: head.Time, Grace: set.LongestGrace(), Hosts: map[string][]string{}}
	if head.Number > 1 {
		// Hosts that do not have the newest release apply the grace periods of the release before it.
		if _, before, err := release.Load(ctx, st, head.Number-1); err == nil {
			in.Grace = max(in.Grace, before.LongestGrace())
		}
	}
	hosts, err := listObjects[relay.HostSpec](ctx, st, relay.HostKind)
	if err != nil {
		return acceptance.Verdict{}, err
	}
	for _, h := range hosts {
		in.Hosts[h.Zone] = append(in.Hosts[h.Zone], h.Name)
	}
	if in.Statuses, err = listObjects[acceptance.ZoneStatus](ctx, st, acceptance.Kind); err != nil {
		return acceptance.Verdict{}, err
	}
	return acceptance.Evaluate(now, in), nil
}

// listObjects reads and decodes all platform objects of a kind.
func listObjects[T any](ctx context.Context, st store.Store, kind string) ([]T, error) {
	list, _, err := st.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	out := make([]T, len(list))
	for i, o := range list {
		if err := json.Unmarshal(o.Spec, &out[i]); err != nil {
			return nil, errors.Wrapf(err, "platform object %s %q cannot be decoded; delete it, and the host that owns it writes it again", kind, o.Name)
		}
	}
	return out, nil
}

// waitAccepted waits until release e is accepted. It returns an error after limit.
func waitAccepted(g *Globals, f *PlatformFlags, e release.Entry, limit time.Duration) error {
	st, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	for {
		v, err := evaluateNewest(ctx, st, time.Now())
		if err == nil && v.Release >= e.Number && v.Accepted {
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return errors.Newf("release %d is committed, but not accepted within %s; run 'shallotramp status' to see which zones are late", e.Number, limit)
		}
	}
}
