package lease_test

import (
	"context"
	"fmt"
	"time"

	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/provider/fake"
)

func ExampleManager() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	mgr := lease.NewManager(fake.NewStore(), "10.0.1.7")
	go mgr.Run(ctx, done)

	l := mgr.Campaign("usage-reporter")
	for s := range l.Changes() {
		if s == lease.Held {
			break
		}
	}
	// The clock must be read immediately before each send.
	if fence, ok := l.Held(time.Now()); ok {
		fmt.Println("send with fence", fence)
	}
	stop()
	<-done
	fmt.Println(l.Valid(time.Now()))
	// Output:
	// send with fence 1
	// false
}
