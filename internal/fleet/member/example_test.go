package member_test

import (
	"fmt"
	"time"

	"shallotramp/internal/fleet/member"
)

func ExampleTable() {
	now := time.Unix(0, 0)
	t := member.NewTable(0)
	t.AddListed(now, member.Host{Name: "entry-1", Zone: "mid-a"})
	t.LinkUp(now, member.Host{Name: "entry-1", Zone: "mid-a", Incarnation: 1})
	for _, c := range t.Tick(now.Add(member.SuspectAfter)) {
		fmt.Println(c.Host.Name, c.From, c.To, c.Cause)
	}
	// Output: entry-1 Alive Suspect no heartbeat
}
