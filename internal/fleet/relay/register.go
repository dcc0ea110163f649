package relay

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"shallotramp/internal/fleet/member"
	"shallotramp/internal/provider/store"
)

// HostKind is the kind of the objects by which hosts make themselves known.
const HostKind = "Host"

const (
	// registerInterval is how often a host writes its object again.
	registerInterval = 5 * time.Minute
	// listInterval is how often a relay, and a host without links, reads the list.
	listInterval = 2 * time.Minute
	// lonelyInterval is how often a host without links reads the list.
	lonelyInterval = 10 * time.Second
	// staleObject is the age at which a relay deletes the object of a host that vanished.
	staleObject = 4 * registerInterval
	// callTimeout bounds one call of the platform.
	callTimeout = 5 * time.Second
	// stepInterval is how often the registrar looks what is due.
	stepInterval = time.Second
)

// HostSpec is the content of a host's object. The list of these lags and is a seed only.
type HostSpec struct {
	Name        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	Time        time.Time
}

// registrar keeps this host's object and reads the list of hosts.
type registrar struct {
	n             *Node
	write, list   time.Time
	writeAttempts int
	listed        bool
}

func newRegistrar(n *Node) *registrar { return &registrar{n: n} }

// Run registers until ctx ends, removes the object and then reports on done.
func (r *registrar) Run(ctx context.Context, done chan<- error) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	r.step(ctx, time.Now())
	for {
		select {
		case now := <-t.C:
			r.step(ctx, now)
		case <-ctx.Done():
			r.remove(context.WithoutCancel(ctx))
			done <- nil
			return
		}
	}
}

// step writes before it lists: of two hosts that start at once, at least one then finds the other.
func (r *registrar) step(ctx context.Context, now time.Time) {
	if !now.Before(r.write) {
		r.renew(ctx, now)
	}
	if !now.Before(r.list) && (!r.listed || r.n.View().Acting || len(r.n.View().Linked) == 0) {
		r.seed(ctx, now)
	}
}

func (r *registrar) renew(ctx context.Context, now time.Time) {
	if err := r.register(ctx, now); err != nil {
		r.writeAttempts++
		r.write = now.Add(min(time.Duration(r.writeAttempts)*time.Second, readBackoff))
		return
	}
	r.writeAttempts = 0
	r.write = now.Add(registerInterval)
}

// register writes this host's object, whatever version the platform has.
func (r *registrar) register(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := r.n.cfg.Self
	spec, err := json.Marshal(HostSpec{self.Name, self.Zone, self.Address, self.Incarnation, now.UTC()})
	if err != nil {
		return err
	}
	o := store.Object{Kind: HostKind, Name: self.Name, Spec: spec}
	_, err = r.n.cfg.Store.Create(ctx, o)
	if !store.Failed(err, store.Exists) {
		return err
	}
	old, err := r.n.cfg.Store.Get(ctx, HostKind, self.Name)
	if err != nil {
		return err
	}
	o.Version = old.Version
	_, err = r.n.cfg.Store.Update(ctx, o)
	return err
}

// remove deletes this host's object at a planned stop, unless a successor of the same name wrote it since.
func (r *registrar) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := r.n.cfg.Store.Get(ctx, HostKind, r.n.cfg.Self.Name)
	if err != nil {
		return
	}
	var s HostSpec
	if json.Unmarshal(o.Spec, &s) == nil && s.Incarnation <= r.n.cfg.Self.Incarnation {
		_ = r.n.cfg.Store.Delete(ctx, o)
	}
}

// seed reads the list of hosts, and as the relay removes the objects of hosts that vanished.
func (r *registrar) seed(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, _, err := r.n.cfg.Store.List(ctx, HostKind)
	if err != nil {
		r.list = now.Add(lonelyInterval)
		return
	}
	r.listed = true
	r.list = now.Add(listInterval)
	if len(r.n.View().Linked) == 0 {
		r.list = now.Add(lonelyInterval)
	}
	hosts := make([]member.Host, 0, len(list))
	for _, o := range list {
		var s HostSpec
		if json.Unmarshal(o.Spec, &s) != nil {
			continue
		}
		if now.Sub(s.Time) < staleObject {
			hosts = append(hosts, member.Host{Name: s.Name, Zone: s.Zone, Address: s.Address, Incarnation: s.Incarnation})
			continue
		}
		if r.n.View().Acting && s.Zone == r.n.cfg.Self.Zone {
			_ = r.n.cfg.Store.Delete(ctx, o)
		}
	}
	r.n.post(func(now time.Time) []Effect { return r.n.core.AddSeeds(now, hosts) })
}
