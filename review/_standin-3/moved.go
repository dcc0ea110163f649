package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"shallotramp/platform/standin"
)

const applyTime = 2000 * time.Millisecond

// movedCase changes the settings files: the platform's store moves to another address, with all that it holds, and the old
// address answers no more. Then a key is taken away and a route added. From configApplyMs after the store has acknowledged
// that, no request with the key may run.
func movedCase(d *deployment, trouble bool) (bool, error) {
	for i, zone := range zones {
		if _, err := d.addRunner(fmt.Sprintf("i-app-%d", i+1), "bookings-app", zone, 6); err != nil {
			return false, err
		}
	}
	old := d.store
	keys := []string{"key-1", "key-2"}
	if err := d.configureKeys([]route{bookRoute}, []map[string]any{bookingService()}, keys); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.store = standin.NewStore()
		for _, r := range d.runners {
			if err := r.beat(); err != nil {
				return false, err
			}
		}
		d.version -= 3
		if err := d.configureKeys([]route{bookRoute}, []map[string]any{bookingService()}, keys); err != nil {
			return false, err
		}
		var err error
		if d.storeAt, err = serve(d.net+".3:0", d.store); err != nil {
			return false, err
		}
		d.add("the store moves to another address")
	}
	for _, zone := range zones {
		h := d.hosts[zone]
		if err := d.writeSettings(h, false); err != nil {
			return false, err
		}
		if zone == "mid-a" {
			if err := h.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return false, err
			}
			d.add("host %s gets SIGHUP; the other files change without a signal", h.name)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		old.SetFaults(standin.StoreFaults{Silent: true})
		d.add("the old address answers no more")
	}
	time.Sleep(4 * time.Second)
	added := bookRoute
	added.name, added.prefix = "book-later", "/later/"
	if err := d.configureKeys([]route{bookRoute, added}, []map[string]any{bookingService()}, keys[:1]); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	d.add("the store has acknowledged version %d, without key-2 and with another route", d.version)
	ran, missing, total := 0, 0, 0
	for time.Since(acknowledged) < 20*time.Second {
		time.Sleep(500 * time.Millisecond)
		for _, zone := range zones {
			withKey := d.send(d.hosts[zone], "/book/1", "booking", 2500*time.Millisecond, map[string]string{"Authorization": "Token key-2"})
			onRoute := d.send(d.hosts[zone], "/later/1", "booking", 2500*time.Millisecond, nil)
			after := withKey.sentAt.Sub(acknowledged)
			d.add("%s, %.1f s after the acknowledgement: with the key that is gone: %v; on the new route: %v", d.hosts[zone].name, after.Seconds(), withKey, onRoute)
			if after <= applyTime {
				continue
			}
			total++
			if withKey.status == 200 {
				ran++
			}
			if onRoute.status == 404 {
				missing++
			}
		}
	}
	d.add("of %d requests of each kind, sent later than configApplyMs after the acknowledgement, %d ran with the key that is gone, and %d got 404 on the new route", total, ran, missing)
	fmt.Printf("of %d, %d ran with the key that is gone, %d got 404 on the new route\n", total, ran, missing)
	return ran+missing > 0, nil
}

// writeSettings writes the settings file of a host.
func (d *deployment) writeSettings(h *host, first bool) error {
	text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, d.net, d.storeAt, d.cloudAt, first)
	if err := os.WriteFile(h.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".new", h.settings)
}
