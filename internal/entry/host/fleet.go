package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/entry/console"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/provider/store"
)

// Fleet holds the settings of the links with other hosts. Without certificates there are no links, and the host
// follows the platform by itself.
type Fleet struct {
	// Listen is where other hosts are accepted, Advertise what they are told; without it they are told Listen.
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// CertFile, KeyFile and CAFile are PEM files; a change is taken without a restart. The certificate
	// must hold the host's name.
	CertFile, KeyFile, CAFile string
	// Material is taken in place of the files.
	Material link.CredentialSource
	// Seeds are hosts to ask for others while none is known.
	Seeds []netip.AddrPort
}

// FleetError is a setting of the links that cannot be used.
type FleetError struct{ Problem, Remedy string }

func (e *FleetError) Error() string {
	return "the links between hosts cannot start: " + e.Problem + "; " + e.Remedy
}

// source returns the certificates, or nil when links are off.
func (f Fleet) source() (link.CredentialSource, error) {
	given := 0
	for _, file := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if file != "" {
			given++
		}
	}
	switch {
	case f.Material != nil:
		return f.Material, nil
	case given == 0:
		return nil, nil
	case given < 3:
		return nil, &FleetError{"only some of certificate, key and authority are given", "give all three files or none"}
	}
	return link.NewCredentialFiles(f.CertFile, f.KeyFile, f.CAFile)
}

// address returns what other hosts are told.
func (f Fleet) address(ln net.Listener) (netip.AddrPort, error) {
	if f.Advertise.IsValid() {
		return f.Advertise, nil
	}
	a, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil || a.Addr().IsUnspecified() {
		return a, &FleetError{"the address for other hosts is unknown", "set --fleet-advertise"}
	}
	return a, nil
}

// join prepares the links with other hosts when certificates are given.
func (h *Host) join(st store.Store) error {
	src, err := h.cfg.Fleet.source()
	if err != nil || src == nil {
		return err
	}
	ln, err := net.Listen("tcp", h.cfg.Fleet.Listen.String())
	if err != nil {
		return errors.Wrap(err, "the listener for other hosts cannot start; free the address or set --fleet-listen")
	}
	address, err := h.cfg.Fleet.address(ln)
	if err != nil {
		_ = ln.Close()
		return err
	}
	role := &relayRole{manager: h.leases, name: "relay-" + h.cfg.Zone}
	h.node = relay.NewNode(relay.Config{
		Self: member.Host{
			Name: h.cfg.Name, Zone: h.cfg.Zone, Address: address, Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: h.cfg.Fleet.Seeds, Listener: ln, Source: src, Store: st, Holder: h.holder, Adopted: h.adopted,
		Relay: role, Campaign: role.campaign, Decisions: h.tally, Log: h.log, Events: h.events, Metrics: h.metrics,
	})
	return nil
}

// relayRole is the lease of the zone's relay. Only the lowest live host of a zone campaigns; a holder keeps it.
type relayRole struct {
	manager *lease.Manager
	name    string
	lease   *lease.Lease
}

// Held implements [relay.Role].
func (r *relayRole) Held(now time.Time) bool { return r.lease != nil && r.lease.Valid(now) }

// campaign is called by the node's goroutine at each tick.
func (r *relayRole) campaign(on bool) {
	r.manager.SetEager(on)
	switch {
	case on && r.lease == nil:
		r.lease = r.manager.Campaign(r.name)
	case !on && r.lease != nil && !r.lease.Valid(time.Now()):
		// The manager resigns in the background; nothing here waits for it.
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.lease.Resign(ended)
		r.lease = nil
	}
}

// ready reports whether the host has the newest release that it can know of.
func (h *Host) ready() bool {
	if h.node != nil {
		return h.node.View().Ready
	}
	return h.holder.Current() != nil
}

// fleetPages are the pages about other hosts on the operators' listener.
func (h *Host) fleetPages() map[string]http.HandlerFunc {
	pages := map[string]http.HandlerFunc{
		"/events":   func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.events.Recent()) },
		"/suspects": console.ServeMarks(h.loop),
	}
	if h.node != nil {
		pages["/fleet"] = func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.node.View()) }
	}
	return pages
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
