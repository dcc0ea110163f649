package acceptance_test

import (
	"fmt"
	"time"

	"shallotramp/internal/fleet/acceptance"
)

func ExampleEvaluate() {
	committed := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	v := acceptance.Evaluate(committed.Add(3*time.Second), acceptance.Input{
		Release: 7, Committed: committed, Grace: 10 * time.Minute,
		Hosts: map[string][]string{"mid-a": {"entry-1"}, "mid-b": {"entry-2"}},
		Statuses: []acceptance.ZoneStatus{
			{Zone: "mid-a", Release: 7, Acked: []string{"entry-1"}, Time: committed.Add(time.Second)},
		},
	})
	fmt.Println(v.Accepted)
	for _, z := range v.Zones {
		fmt.Println(z.Zone, z.State, z.Missing)
	}
	// Output:
	// false
	// mid-a InForce []
	// mid-b CutOff [entry-2]
}
