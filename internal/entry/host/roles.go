package host

import (
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"shallotramp/internal/capacity/controller"
	"shallotramp/internal/capacity/planner"
	"shallotramp/internal/capacity/sizing"
	"shallotramp/internal/capacity/stock"
	"shallotramp/internal/catalog/object"
	"shallotramp/internal/engine/load"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/ops/event"
	"shallotramp/internal/provider/ordering"
	"shallotramp/internal/provider/report"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/record"
	"shallotramp/internal/usage/reporter"
)

// usageRole is the lease under which one host reports usage.
const usageRole = "usage"

// Usage holds the settings of usage reports.
type Usage struct {
	// Reports is the base URL of the platform's report interface; empty leaves windows unreported.
	Reports string
	// Window is the length of a window, the same on all hosts; zero is [ledger.DefaultWindow].
	Window time.Duration
	// Grace is the time from a window's end to its freeze; zero is [reporter.DefaultGrace].
	Grace time.Duration
}

// prepareUsage creates the host's ledger and, where reports can be sent, its candidate for reporting.
func (h *Host) prepareUsage() {
	u := h.cfg.Usage
	if u.Window == 0 {
		u.Window = ledger.DefaultWindow
	}
	if u.Grace == 0 {
		u.Grace = reporter.DefaultGrace
	}
	records := record.NewReader(h.serverAddress, http.DefaultTransport)
	h.ledger = ledger.New(h.store, h.cfg.Name, h.cfg.Zone, ledger.WithRecords(records), ledger.WithLog(h.log),
		ledger.WithWindow(u.Window), ledger.WithHosts(h.liveHosts))
	if u.Reports == "" {
		return
	}
	h.reporter = reporter.New(h.cfg.Name+"-"+h.ledger.Incarnation(), h.store, h.leases.Campaign(usageRole), report.NewClient(u.Reports),
		reporter.WithLog(h.log), reporter.WithWindow(u.Window, u.Grace), reporter.WithTerm(lease.DefaultConfig().Term),
		reporter.WithRecords(records, h.engineNames, h.organisationNames))
}

// openAccount opens the account of a request.
func (h *Host) openAccount(organisation string) gateway.Account { return h.ledger.Begin(organisation) }

// preparePoller creates the reader of backend servers' loads, which shares them with the zone's hosts.
func (h *Host) preparePoller() {
	opts := []load.Option{load.WithLog(h.log)}
	if h.node != nil {
		opts = append(opts, load.WithCarry(func(l dispatch.Load) { h.node.ShareLoads([]dispatch.Load{l}) }))
	}
	h.poller = load.New(h.cfg.Zone, h.holder, h.loop, opts...)
	s := &share{h: h}
	h.poller.SetShare(s.polls)
}

// orderRole is the lease under which one host gives orders.
const orderRole = "orders"

// loadInterval and loadBurst bound orders that draw on the weight store.
const (
	loadInterval = 10 * time.Second
	loadBurst    = 4
)

// prepareOrders creates the host's candidate for giving orders and sizing pools.
func (h *Host) prepareOrders() {
	if h.cfg.Ordering == "" || h.node == nil {
		// Without links a host does not know what is asked of the others.
		return
	}
	role := h.leases.Campaign(orderRole)
	client := ordering.NewClient(h.receiverAddress)
	h.controller = controller.New(h.cfg.Name+"-"+h.ledger.Incarnation(), h.store, role, client, h.checksFence,
		controller.WithLog(h.log), controller.WithLoadLimit(loadInterval, loadBurst), controller.WithObserver(h.ordered))
	hands := stock.New(h.store, client, h.cfg.Ordering, h.controller, h.tally)
	held := func(now time.Time) bool {
		_, ok := role.Held(now)
		return ok
	}
	h.planner = planner.New(sizing.DefaultSettings(), hands, hands, held, h.log)
}

// receiverAddress returns where orders for a receiver go: the ordering interface for a zone, else the server itself.
func (h *Host) receiverAddress(receiver string) (string, bool) {
	if a, ok := h.serverAddress(receiver); ok {
		return "http://" + a.String(), true
	}
	return strings.TrimSuffix(h.cfg.Ordering, "/"), h.cfg.Ordering != ""
}

// checksFence reports whether a receiver refuses old fencing numbers, as operators say.
func (h *Host) checksFence(receiver string) bool {
	snap := h.holder.Current()
	if snap == nil {
		return false
	}
	b, ok := snap.Set.BackendServers[receiver]
	return ok && b.ChecksFence
}

// ordered keeps the steps of orders for operators.
func (h *Host) ordered(c controller.Change) {
	h.events.Add(event.Order, "order/"+c.Receiver, c.Intent.Order.Action.String()+" "+c.Intent.Name+": "+c.From.String()+" to "+c.To.String())
}

// share divides the servers to be polled among live hosts: those of a server's zone, or all where its zone has none.
type share struct {
	h      *Host
	cached atomic.Pointer[shareIndex]
}

// shareIndex lists live hosts by zone, as of one view of the fleet.
type shareIndex struct {
	view   *relay.View
	byZone map[string][]string
	all    []string
}

// polls reports whether this host polls the server.
func (s *share) polls(server string) bool {
	snap := s.h.holder.Current()
	if snap == nil {
		return false
	}
	b, ok := snap.Set.BackendServers[server]
	if !ok {
		return false
	}
	i := s.index()
	hosts := i.byZone[b.Zone]
	if len(hosts) == 0 {
		hosts = i.all
	}
	return exchange.Owner(server, hosts) == s.h.cfg.Name
}

func (s *share) index() *shareIndex {
	var view *relay.View
	if s.h.node != nil {
		view = s.h.node.View()
	}
	if i := s.cached.Load(); i != nil && i.view == view {
		return i
	}
	i := &shareIndex{view: view, byZone: map[string][]string{}}
	add := func(name, zone string) {
		i.byZone[zone] = append(i.byZone[zone], name)
		i.all = append(i.all, name)
	}
	add(s.h.cfg.Name, s.h.cfg.Zone)
	if view != nil {
		for _, m := range view.Members {
			if m.State == member.Alive && m.Name != s.h.cfg.Name {
				add(m.Name, m.Zone)
			}
		}
	}
	s.cached.Store(i)
	return i
}

// serverAddress returns the address of a backend server of the release in force.
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

// engineNames lists the model engines of the release in force, which count use themselves.
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

// liveHosts returns how many hosts are known to live, this one included.
func (h *Host) liveHosts() int {
	n := 1
	if h.node == nil {
		return n
	}
	for _, m := range h.node.View().Members {
		if m.State == member.Alive && m.Name != h.cfg.Name {
			n++
		}
	}
	return n
}
