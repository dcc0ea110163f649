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
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/provider/store"
)

// FleetConfig holds the settings of the links with other hosts. Without certificates there are no links, and the host
// reads releases from the platform's store only.
type FleetConfig struct {
	// Listen is the address on which other hosts are accepted. Advertise is the address that the host
	// announces to other hosts; if it is unset, it announces the listener's.
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// CertFile, KeyFile and CAFile are PEM files; a change takes effect without a restart. The certificate
	// must contain the host's name.
	CertFile, KeyFile, CAFile string
	// Credentials replaces the files if it is set.
	Credentials link.CredentialSource
	// Seeds are hosts from which the host requests the addresses of other hosts while it knows none.
	Seeds []netip.AddrPort
}

// FleetConfigError reports a setting of the links that cannot be used.
type FleetConfigError struct{ Problem, Remedy string }

func (e *FleetConfigError) Error() string {
	return "cannot set up the links between hosts: " + e.Problem + "; " + e.Remedy
}

// credentials returns the source of the certificates and the key, or nil if links are off.
func (f FleetConfig) credentials() (link.CredentialSource, error) {
	filesGiven := 0
	for _, file := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if file != "" {
			filesGiven++
		}
	}
	switch {
	case f.Credentials != nil:
		return f.Credentials, nil
	case filesGiven == 0:
		return nil, nil
	case filesGiven < 3:
		return nil, &FleetConfigError{"only some of the certificate, key and CA files are set", "set all three files or none"}
	}
	return link.NewCredentialFiles(f.CertFile, f.KeyFile, f.CAFile)
}

// advertisedAddress returns the address that the host announces to other hosts.
func (f FleetConfig) advertisedAddress(ln net.Listener) (netip.AddrPort, error) {
	if f.Advertise.IsValid() {
		return f.Advertise, nil
	}
	a, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil || a.Addr().IsUnspecified() {
		return a, &FleetConfigError{"the listener is on all addresses, so the address to send to other hosts is unknown", "set --fleet-advertise"}
	}
	return a, nil
}

// prepareLinks opens the listener for other hosts and creates the node that links with them. Without
// certificates it does nothing.
func (h *Host) prepareLinks(st store.Store) error {
	src, err := h.cfg.Fleet.credentials()
	if err != nil || src == nil {
		return err
	}
	ln, err := net.Listen("tcp", h.cfg.Fleet.Listen.String())
	if err != nil {
		return errors.Wrap(err, "cannot listen for other hosts; free the address or set --fleet-listen")
	}
	address, err := h.cfg.Fleet.advertisedAddress(ln)
	if err != nil {
		_ = ln.Close()
		return err
	}
	zoneLease := &relayLease{manager: h.leases, name: "relay-" + h.cfg.Zone}
	h.node = relay.NewNode(relay.Config{
		Self: membership.Host{
			Name: h.cfg.Name, Zone: h.cfg.Zone, Address: address, Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: h.cfg.Fleet.Seeds, Listener: ln, Source: src, Store: st, Holder: h.holder, OnAdopted: h.applyRelease,
		RelayLease: zoneLease, Campaign: zoneLease.setCandidate, Dispatcher: h.demand, Log: h.log, Events: h.events, Metrics: h.metrics,
	})
	return nil
}

// relayLease is the lease of the zone's relay, the host that is linked with other zones and reads releases from the
// store for its zone. Only the live host with the lowest name in a zone campaigns for it; a
// host that holds the lease keeps it.
type relayLease struct {
	manager *lease.Manager
	name    string
	lease   *lease.Lease
}

// Held implements [relay.LeaseStatus].
func (r *relayLease) Held(now time.Time) bool { return r.lease != nil && r.lease.Valid(now) }

// setCandidate starts or ends the campaign for the lease. The node's goroutine calls it at each tick.
func (r *relayLease) setCandidate(candidate bool) {
	r.manager.SetWatching(candidate)
	switch {
	case candidate && r.lease == nil:
		r.lease = r.manager.Campaign(r.name)
	case !candidate && r.lease != nil && !r.lease.Valid(time.Now()):
		// The manager resigns in the background. The canceled context keeps this call from waiting for it.
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.lease.Resign(canceled)
		r.lease = nil
	}
}

// ready reports whether the host has the newest release, as far as it can know.
func (h *Host) ready() bool {
	if h.node != nil {
		return h.node.View().Ready
	}
	return h.holder.Current() != nil
}

// extraHandlers returns the handlers on the operators' listener for events, requests that crashed
// backend servers (suspects), and the fleet, by path.
func (h *Host) extraHandlers() map[string]http.HandlerFunc {
	handlers := map[string]http.HandlerFunc{
		"/events":   func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.events.Recent()) },
		"/suspects": console.SuspectsHandler(h.loop),
	}
	if h.node != nil {
		handlers["/fleet"] = func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.node.View()) }
	}
	return handlers
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
