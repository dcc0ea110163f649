package relay

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/provider/store"
)

// HostKind is the kind of the platform's objects that describe hosts.
const HostKind = "Host"

const (
	// registerInterval is how often a host renews its object.
	registerInterval = 5 * time.Minute
	// listInterval is how often the relay reads the list of hosts.
	listInterval = 2 * time.Minute
	// unlinkedListInterval is how often a host without links reads the list, and the delay after a failed read.
	unlinkedListInterval = 10 * time.Second
	// maxHostObjectAge is the age at which an object is ignored and deleted by the relay of its zone, because the host
	// no longer renews it.
	maxHostObjectAge = 4 * registerInterval
	// storeCallTimeout limits the calls to the platform for one task, such as a registration.
	storeCallTimeout = 5 * time.Second
	// registrarInterval is how often the registrar checks what is due.
	registrarInterval = time.Second
)

// HostSpec is the content of a host's object. The list of hosts may be out of date and only provides hosts to dial.
type HostSpec struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	Time        time.Time
}

// registrar maintains this host's object and reads the list of hosts.
type registrar struct {
	node                *Node
	nextWrite, nextList time.Time
	failedWrites        int
	// listed is set once the list of hosts has been read.
	listed bool
}

func newRegistrar(n *Node) *registrar { return &registrar{node: n} }

// Run keeps this host registered until ctx ends, deletes its object and then sends nil on done.
func (r *registrar) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(registrarInterval)
	defer t.Stop()
	r.step(ctx, time.Now())
	for {
		select {
		case now := <-t.C:
			r.step(ctx, now)
		case <-ctx.Done():
			r.deregister(context.WithoutCancel(ctx))
			done <- nil
			return
		}
	}
}

// step does what is due. It writes this host's object before it reads the list, so that of two hosts that start at the
// same time at least one finds the other.
func (r *registrar) step(ctx context.Context, now time.Time) {
	if !now.Before(r.nextWrite) {
		r.renew(ctx, now)
	}
	if !now.Before(r.nextList) && (!r.listed || r.node.View().Acting || len(r.node.View().Linked) == 0) {
		r.readHosts(ctx, now)
	}
}

func (r *registrar) renew(ctx context.Context, now time.Time) {
	if err := r.register(ctx, now); err != nil {
		r.failedWrites++
		r.nextWrite = now.Add(min(time.Duration(r.failedWrites)*time.Second, maxReadBackoff))
		return
	}
	r.failedWrites = 0
	r.nextWrite = now.Add(registerInterval)
}

// register creates this host's object, or overwrites the one that exists.
func (r *registrar) register(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	self := r.node.cfg.Self
	spec, err := json.Marshal(HostSpec{self.Name, self.Zone, self.Address, self.Incarnation, now.UTC()})
	if err != nil {
		return err
	}
	o := store.Object{Kind: HostKind, Name: self.Name, Spec: spec}
	_, err = r.node.cfg.Store.Create(ctx, o)
	if !store.Failed(err, store.Exists) {
		return err
	}
	old, err := r.node.cfg.Store.Get(ctx, HostKind, self.Name)
	if err != nil {
		return err
	}
	o.Version = old.Version
	_, err = r.node.cfg.Store.Update(ctx, o)
	return err
}

// deregister deletes this host's object at a planned stop, unless a later incarnation of the host has overwritten it.
func (r *registrar) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	o, err := r.node.cfg.Store.Get(ctx, HostKind, r.node.cfg.Self.Name)
	if err != nil {
		return
	}
	var s HostSpec
	if json.Unmarshal(o.Spec, &s) == nil && s.Incarnation <= r.node.cfg.Self.Incarnation {
		_ = r.node.cfg.Store.Delete(ctx, o)
	}
}

// readHosts reads the list of hosts. The relay also deletes objects of its zone that are no longer renewed.
func (r *registrar) readHosts(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	list, _, err := r.node.cfg.Store.List(ctx, HostKind)
	if err != nil {
		r.nextList = now.Add(unlinkedListInterval)
		return
	}
	r.listed = true
	r.nextList = now.Add(listInterval)
	if len(r.node.View().Linked) == 0 {
		r.nextList = now.Add(unlinkedListInterval)
	}
	hosts := make([]membership.Host, 0, len(list))
	for _, o := range list {
		var s HostSpec
		if json.Unmarshal(o.Spec, &s) != nil {
			continue
		}
		if now.Sub(s.Time) < maxHostObjectAge {
			hosts = append(hosts, membership.Host{Name: s.Name, Zone: s.Zone, Address: s.Address, Incarnation: s.Incarnation})
			continue
		}
		if r.node.View().Acting && s.Zone == r.node.cfg.Self.Zone {
			_ = r.node.cfg.Store.Delete(ctx, o)
		}
	}
	r.node.post(func(now time.Time) []Effect { return r.node.core.AddListedHosts(now, hosts) })
}
