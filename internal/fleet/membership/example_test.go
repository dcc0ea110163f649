package membership_test

import (
	"fmt"
	"time"

	"shallotramp/internal/fleet/membership"
)

func ExampleTable() {
	now := time.Unix(0, 0)
	t := membership.NewTable(0)
	t.AddListed(now, membership.Host{Name: "entry-1", Zone: "mid-a"})
	t.LinkUp(now, membership.Host{Name: "entry-1", Zone: "mid-a", Incarnation: 1})
	for _, c := range t.Tick(now.Add(membership.SuspectAfter)) {
		fmt.Println(c.Host.Name, c.From, c.To, c.Cause)
	}
	// Output: entry-1 Alive Suspect no heartbeat
}
