package event_test

import (
	"fmt"

	"shallotramp/internal/ops/event"
)

func ExampleLog() {
	l := event.NewLog(2)
	l.Add(event.LinkUp, "entry-1", "dialled")
	l.Add(event.LinkRefused, "10.0.0.9:7300", "unknown certificate")
	l.Add(event.LinkRefused, "10.0.0.9:7300", "unknown certificate")
	l.Add(event.RoleChange, "relay/mid-a", "lease held")
	for _, e := range l.Recent() {
		fmt.Println(e.Kind, e.Subject, e.Cause, e.Count)
	}
	// Output:
	// RoleChange relay/mid-a lease held 1
	// LinkRefused 10.0.0.9:7300 unknown certificate 2
}
