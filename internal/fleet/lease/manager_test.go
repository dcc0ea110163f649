package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/store"
)

// host is a running manager. It stops at the end of the test at the latest.
type host struct {
	*lease.Manager
	stop func()
}

func startHost(t *testing.T, st store.Store, name string) *host {
	h := &host{Manager: lease.NewManager(st, name)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go h.Run(ctx, done)
	h.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(h.stop)
	return h
}

func countHolders(leases ...*lease.Lease) int {
	n := 0
	for _, l := range leases {
		if l.Valid(time.Now()) {
			n++
		}
	}
	return n
}

// A host that stops must release its roles, so that a successor need not wait for the end of the term. The successor
// must get a higher fencing number.
func TestPlannedStopHandsOverWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a := startHost(t, st, "a")
		la := a.Campaign("usage")
		time.Sleep(time.Second)
		first, ok := la.Held(time.Now())
		if !ok || <-la.Changes() != lease.Held {
			t.Fatal("a free role was not acquired within a second")
		}
		b := startHost(t, st, "b")
		lb := b.Campaign("usage")
		time.Sleep(30 * time.Second)
		if !la.Valid(time.Now()) || lb.Valid(time.Now()) {
			t.Fatal("the role moved to another host although its holder is running")
		}
		a.stop()
		if la.Valid(time.Now()) {
			t.Error("a stopped host still holds the role")
		}
		time.Sleep(time.Second)
		next, ok := lb.Held(time.Now())
		if !ok || next <= first {
			t.Errorf("fencing number %d after %d, held %v: want a higher one within a second", next, first, ok)
		}
	})
}

// Resign must release a role although the response to the release is lost, and must return an error while the
// platform is down.
func TestResignMovesOneRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := startHost(t, st, "a"), startHost(t, st, "b")
		la := a.Campaign("orders")
		time.Sleep(time.Second)
		lb := b.Campaign("orders")
		time.Sleep(time.Second)
		st.SetFaults(fake.Faults{LoseAnswers: 1})
		if err := la.Resign(context.Background()); err != nil || la.Valid(time.Now()) {
			t.Fatalf("resigned with %v, still valid %v", err, la.Valid(time.Now()))
		}
		time.Sleep(time.Second)
		if !lb.Valid(time.Now()) {
			t.Error("no successor a second after a resignation whose response was lost")
		}
		st.SetFaults(fake.Faults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := lb.Resign(ctx); err == nil || lb.Valid(time.Now()) {
			t.Error("want an error for a release that the platform has not confirmed, and the role not held")
		}
	})
}

// A holder that cannot renew must stop before its term ends. After the outage one host must hold the role again, even
// if the platform is slow.
func TestHolderStopsByItselfWhenThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := startHost(t, st, "a"), startHost(t, st, "b")
		la, lb := a.Campaign("orders"), b.Campaign("orders")
		time.Sleep(5 * time.Second)
		if countHolders(la, lb) != 1 {
			t.Fatal("want exactly one holder")
		}
		st.SetFaults(fake.Faults{Down: true})
		time.Sleep(lease.DefaultConfig().Term)
		if countHolders(la, lb) != 0 {
			t.Error("the role is still held a term after the platform went down")
		}
		time.Sleep(time.Hour)
		st.SetFaults(fake.Faults{Delay: 2 * time.Second})
		time.Sleep(30 * time.Second)
		if countHolders(la, lb) != 1 {
			t.Error("want exactly one holder 30 s after the platform came back with calls of 2 s")
		}
	})
}

// When several hosts start at the same time, no host may acquire more than half of the roles and each must acquire one.
func TestRolesAreSpread(t *testing.T) {
	const roles, hosts = 24, 4
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		held := map[int][]*lease.Lease{}
		for i := range hosts {
			h := startHost(t, st, fmt.Sprint(i))
			for r := range roles {
				held[i] = append(held[i], h.Campaign(fmt.Sprintf("role-%d", r)))
			}
		}
		time.Sleep(5 * time.Second)
		total := 0
		for i := range hosts {
			n := countHolders(held[i]...)
			total += n
			if n < 1 || n > roles/2 {
				t.Errorf("host %d holds %d of %d roles", i, n, roles)
			}
		}
		if total != roles {
			t.Errorf("%d of %d roles are held", total, roles)
		}
	})
}

// The hosts that do not watch must not load the platform with reads, and must still acquire a released role at once
// after a hint.
func TestHostsThatDoNotWatchRarelyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := startHost(t, st, "a"), startHost(t, st, "b")
		a.Campaign("usage")
		time.Sleep(time.Second)
		lb := b.Campaign("usage")
		b.SetWatching(false)
		time.Sleep(time.Minute)
		before := st.Counts()
		time.Sleep(8 * time.Minute)
		after := st.Counts()
		// The holder only renews; the other host reads every 32 s.
		if n := after.Reads - before.Reads; n > 16 {
			t.Errorf("%d reads in eight minutes", n)
		}
		if n := after.Writes - before.Writes; n > 8*60/3+1 {
			t.Errorf("%d writes in eight minutes", n)
		}
		a.stop()
		b.Hint("usage")
		time.Sleep(time.Second)
		if !lb.Valid(time.Now()) {
			t.Error("a hint did not move the role within a second")
		}
	})
}
