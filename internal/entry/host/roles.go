package host

import (
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"shallotramp/internal/capacity/controller"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/reconcile"
	"shallotramp/internal/capacity/sizing"
	"shallotramp/internal/catalog/object"
	"shallotramp/internal/engine/loadpoller"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/ops/event"
	"shallotramp/internal/provider/ordering"
	"shallotramp/internal/provider/report"
	"shallotramp/internal/provider/transport"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/servercounts"
)

// usageLeaseName is the name of the lease whose holder reports usage.
const usageLeaseName = "usage"

// UsageConfig holds the settings of usage reports.
type UsageConfig struct {
	// ReportsURL is the base URL of the platform's report interface. If it is empty, usage is not reported.
	ReportsURL string
	// Window is the length of a usage window. It must be the same on all hosts; zero means [ledger.DefaultWindowLength].
	Window time.Duration
	// Grace is the time from the end of a window until its counts are frozen; zero means [reporter.DefaultGrace].
	Grace time.Duration
}

// prepareUsage creates the host's usage ledger and, if a report interface is set, the reporter. The reporter sends
// reports while it holds the usage lease.
func (h *Host) prepareUsage() {
	u := h.cfg.Usage
	if u.Window == 0 {
		u.Window = ledger.DefaultWindowLength
	}
	if u.Grace == 0 {
		u.Grace = reporter.DefaultGrace
	}
	records := servercounts.NewReader(h.serverAddress, transport.Checked{Transport: &http.Transport{
		DialContext: transport.Dial(&net.Dialer{}), IdleConnTimeout: time.Minute,
	}})
	h.ledger = ledger.New(h.store, h.cfg.Name, h.cfg.Zone, ledger.WithCountReader(records), ledger.WithLog(h.log),
		ledger.WithWindowLength(u.Window), ledger.WithHostCount(h.liveHostCount))
	if u.ReportsURL == "" {
		return
	}
	h.reporter = reporter.New(h.cfg.Name+"-"+h.ledger.Incarnation(), h.store, h.leases.Campaign(usageLeaseName), report.NewClient(u.ReportsURL),
		reporter.WithLog(h.log), reporter.WithWindow(u.Window, u.Grace), reporter.WithLeaseTerm(lease.DefaultConfig().Term),
		reporter.WithCountReader(records, h.engineNames, h.organisationNames))
}

// newUsageRecorder starts the usage record of a request.
func (h *Host) newUsageRecorder(organisation string) gateway.UsageRecorder {
	return h.ledger.Begin(organisation)
}

// preparePoller creates the poller of the backend servers' load. The hosts divide the servers among themselves, and
// each sends its load reports to the other hosts of its zone.
func (h *Host) preparePoller() {
	opts := []loadpoller.Option{loadpoller.WithLog(h.log)}
	if h.node != nil {
		opts = append(opts, loadpoller.WithReportForwarder(func(l dispatch.Load) { h.node.ShareLoads([]dispatch.Load{l}) }))
	}
	h.poller = loadpoller.New(h.cfg.Zone, h.holder, h.loop, opts...)
	assigner := &pollAssigner{host: h}
	h.poller.SetAssigned(assigner.assigned)
}

// orderLeaseName is the name of the lease whose holder orders backend servers.
const orderLeaseName = "orders"

// weightLoadInterval and weightLoadBurst bound the rate of orders that load model weights from the weight store: a
// burst at once, then one for each interval.
const (
	weightLoadInterval = 10 * time.Second
	weightLoadBurst    = 4
)

// prepareOrders creates the controller that orders backend servers and the planner that sizes pools. Both act while
// the host holds the order lease.
func (h *Host) prepareOrders() {
	if h.cfg.OrderingURL == "" || h.node == nil {
		// Without links a host does not know the demand at the other hosts.
		return
	}
	orderLease := h.leases.Campaign(orderLeaseName)
	client := ordering.NewClient(h.receiverAddress)
	h.controller = controller.New(h.cfg.Name+"-"+h.ledger.Incarnation(), h.store, orderLease, client, h.checksFence,
		controller.WithLog(h.log), controller.WithWeightLoadLimit(weightLoadInterval, weightLoadBurst), controller.WithTransitionHook(h.recordOrderChange))
	servers := reconcile.New(h.store, client, h.cfg.OrderingURL, h.controller, h.demand)
	held := func(now time.Time) bool {
		_, ok := orderLease.Held(now)
		return ok
	}
	h.planner = planner.New(sizing.DefaultSettings(), servers, servers, held, h.log)
}

// receiverAddress returns the URL to which orders for a receiver are sent: that of the server itself if the receiver
// is a server, and that of the ordering interface if it is a zone.
func (h *Host) receiverAddress(receiver string) (string, bool) {
	if a, ok := h.serverAddress(receiver); ok {
		return "http://" + a.String(), true
	}
	return strings.TrimSuffix(h.cfg.OrderingURL, "/"), h.cfg.OrderingURL != ""
}

// checksFence reports whether the receiver is configured as one that refuses old fencing numbers.
func (h *Host) checksFence(receiver string) bool {
	snap := h.holder.Current()
	if snap == nil {
		return false
	}
	b, ok := snap.Set.BackendServers[receiver]
	return ok && b.ChecksFence
}

// recordOrderChange adds an order's change of state to the events that operators see.
func (h *Host) recordOrderChange(c controller.Transition) {
	h.events.Add(event.Order, "order/"+c.Receiver, c.Intent.Order.Action.String()+" "+c.Intent.Name+": "+c.From.String()+" to "+c.To.String())
}

// pollAssigner divides the servers to poll among the live hosts. A server is polled by a host of its zone, or by any
// host if its zone has none.
type pollAssigner struct {
	host   *Host
	cached atomic.Pointer[liveHosts]
}

// liveHosts lists the live hosts in one view of the fleet.
type liveHosts struct {
	view   *relay.View
	byZone map[string][]string
	all    []string
}

// assigned reports whether this host polls the server.
func (a *pollAssigner) assigned(server string) bool {
	snap := a.host.holder.Current()
	if snap == nil {
		return false
	}
	b, ok := snap.Set.BackendServers[server]
	if !ok {
		return false
	}
	live := a.hosts()
	hosts := live.byZone[b.Zone]
	if len(hosts) == 0 {
		hosts = live.all
	}
	return statesync.Owner(server, hosts) == a.host.cfg.Name
}

// hosts returns the live hosts. It keeps them until the view of the fleet changes.
func (a *pollAssigner) hosts() *liveHosts {
	var view *relay.View
	if a.host.node != nil {
		view = a.host.node.View()
	}
	if live := a.cached.Load(); live != nil && live.view == view {
		return live
	}
	live := &liveHosts{view: view, byZone: map[string][]string{}}
	add := func(name, zone string) {
		live.byZone[zone] = append(live.byZone[zone], name)
		live.all = append(live.all, name)
	}
	add(a.host.cfg.Name, a.host.cfg.Zone)
	if view != nil {
		for _, m := range view.Members {
			if m.State == membership.Alive && m.Name != a.host.cfg.Name {
				add(m.Name, m.Zone)
			}
		}
	}
	a.cached.Store(live)
	return live
}

// serverAddress returns the address of a backend server in the current release.
func (h *Host) serverAddress(name string) (netip.AddrPort, bool) {
	snap := h.holder.Current()
	if snap == nil {
		return netip.AddrPort{}, false
	}
	b, ok := snap.Set.BackendServers[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return b.Address, true
}

// engineNames lists the model engines in the current release. Engines count usage themselves.
func (h *Host) engineNames() []string {
	snap := h.holder.Current()
	if snap == nil {
		return nil
	}
	var out []string
	for name, b := range snap.Set.BackendServers {
		if p, ok := snap.Set.Pools[b.Pool]; ok && p.Protocol == object.Engine {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (h *Host) organisationNames() []string {
	snap := h.holder.Current()
	if snap == nil {
		return nil
	}
	out := make([]string, 0, len(snap.Set.Organisations))
	for name := range snap.Set.Organisations {
		out = append(out, name)
	}
	return out
}

// liveHostCount returns the number of hosts that are known to be alive, including this one.
func (h *Host) liveHostCount() int {
	n := 1
	if h.node == nil {
		return n
	}
	for _, m := range h.node.View().Members {
		if m.State == membership.Alive && m.Name != h.cfg.Name {
			n++
		}
	}
	return n
}
