package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"shallotramp/internal/provider/fake"
	"shallotramp/internal/traffic/claim"
	"shallotramp/internal/traffic/request"
)

// testClaimer is a running [claim.Claimer]. It is stopped at the end of the test at the latest.
type testClaimer struct {
	*claim.Claimer
	stop func()
}

func startClaimer(t *testing.T, st *fake.Store, host string, opts ...claim.Option) *testClaimer {
	c := &testClaimer{Claimer: claim.NewClaimer(st, host, opts...)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go c.Run(ctx, done)
	c.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(c.stop)
	return c
}

func newRequest(id, key string) claim.Request {
	return claim.Request{
		ID: request.ID(id), Key: claim.KeyOf("org", "bookings", key),
		Fingerprint: claim.FingerprintOf("POST", "/bookings/", []byte(key)), Deadline: time.Now().Add(time.Minute),
	}
}

// claimed claims the call of req and returns a handle that may be sent.
func (c *testClaimer) claimed(t *testing.T, req claim.Request) *claim.Handle {
	t.Helper()
	handle, answer := c.Begin(context.Background(), req)
	if answer != nil {
		t.Fatalf("Begin answered %s", answer.Verdict)
	}
	if answer, err := handle.Claim(context.Background()); answer != nil || err != nil || !handle.MaySend(time.Now()) {
		t.Fatalf("the call could not be claimed: %v, %v", answer, err)
	}
	return handle
}

// A host that stops while a call runs must still record its result, so that a resend to another host gets the reply
// and does not run the call again.
func TestPlannedStopRecordsTheOutcomeOfASentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := startClaimer(t, st, "a"), startClaimer(t, st, "b")
		handle := a.claimed(t, newRequest("r1", "k"))
		time.AfterFunc(2*time.Second, func() {
			handle.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201, Body: []byte("ok")}})
		})
		a.stop()
		_, answer := b.Begin(context.Background(), newRequest("r2", "k"))
		if answer == nil || answer.Verdict != claim.Replay || answer.Reply.Status != 201 || string(answer.Reply.Body) != "ok" {
			t.Errorf("the resend was answered %+v", answer)
		}
	})
}

// A host that is paused or crashes after it claimed a call leaves an open claim. It must not send the call after the
// send window, and the response to a resend to another host must say that the call may have run.
func TestCrashedHostLeavesAnOpenClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := startClaimer(t, st, "a"), startClaimer(t, st, "b")
		handle := a.claimed(t, newRequest("r1", "k"))
		time.Sleep(claim.DefaultConfig().SendWindow)
		if handle.MaySend(time.Now()) {
			t.Error("MaySend allows a paused host to send after the send window")
		}
		begun := time.Now()
		_, answer := b.Begin(context.Background(), newRequest("r2", "k"))
		if answer == nil || answer.Verdict != claim.MayHaveRun || time.Since(begun) > claim.DefaultConfig().WaitTimeout {
			t.Errorf("the resend was answered %+v after %v", answer, time.Since(begun))
		}
		a.stop()
	})
}

func TestALargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startClaimer(t, fake.NewStore(), "a")
		handle := a.claimed(t, newRequest("r1", "k"))
		handle.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201, Body: make([]byte, 1<<20)}})
		_, answer := a.Begin(context.Background(), newRequest("r2", "k"))
		if answer == nil || answer.Verdict != claim.Ran || answer.Reply.Status != 201 {
			t.Errorf("the resend was answered %+v", answer)
		}
	})
}

func ExampleClaimer() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	c := claim.NewClaimer(fake.NewStore(), "10.0.1.7")
	go c.Run(ctx, done)

	handle, _ := c.Begin(ctx, newRequest("r1", "wardrobe"))
	if answer, err := handle.Claim(ctx); answer == nil && err == nil && handle.MaySend(time.Now()) {
		handle.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201}})
	}
	_, answer := c.Begin(ctx, newRequest("r2", "wardrobe"))
	fmt.Println(answer.Verdict, answer.Reply.Status)
	stop()
	<-done
	// Output:
	// Replay 201
}
