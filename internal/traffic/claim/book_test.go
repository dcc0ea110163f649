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

// book is a running Book. It ends with the test at the latest.
type book struct {
	*claim.Claimer
	end func()
}

func start(t *testing.T, st *fake.Store, host string, opts ...claim.Option) *book {
	b := &book{Claimer: claim.NewClaimer(st, host, opts...)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.Run(ctx, done)
	b.end = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(b.end)
	return b
}

func arrival(id, key string) claim.Request {
	return claim.Request{
		ID: request.ID(id), Key: claim.KeyOf("org", "bookings", key),
		Fingerprint: claim.FingerprintOf("POST", "/bookings/", []byte(key)), Deadline: time.Now().Add(time.Minute),
	}
}

// claimed returns a ticket that may be sent.
func (b *book) claimed(t *testing.T, a claim.Request) *claim.Handle {
	t.Helper()
	ticket, answer := b.Begin(context.Background(), a)
	if answer != nil {
		t.Fatalf("told %s", answer.Verdict)
	}
	if answer, err := ticket.Claim(context.Background()); answer != nil || err != nil || !ticket.MaySend(time.Now()) {
		t.Fatalf("not claimed: %v, %v", answer, err)
	}
	return ticket
}

func TestPlannedStopRecordsTheOutcomeOfASentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := start(t, st, "a"), start(t, st, "b")
		ticket := a.claimed(t, arrival("r1", "k"))
		time.AfterFunc(2*time.Second, func() {
			ticket.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201, Body: []byte("ok")}})
		})
		a.end()
		_, answer := b.Begin(context.Background(), arrival("r2", "k"))
		if answer == nil || answer.Verdict != claim.Replay || answer.Reply.Status != 201 || string(answer.Reply.Body) != "ok" {
			t.Errorf("the resend was told %+v", answer)
		}
	})
}

func TestVanishedHostLeavesATruthfulClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		a, b := start(t, st, "a"), start(t, st, "b")
		ticket := a.claimed(t, arrival("r1", "k"))
		time.Sleep(claim.DefaultConfig().SendWindow)
		if ticket.MaySend(time.Now()) {
			t.Error("a paused host may send after the term")
		}
		begun := time.Now()
		_, answer := b.Begin(context.Background(), arrival("r2", "k"))
		if answer == nil || answer.Verdict != claim.MayHaveRun || time.Since(begun) > claim.DefaultConfig().WaitTimeout {
			t.Errorf("the resend was told %+v after %v", answer, time.Since(begun))
		}
		a.end()
	})
}

func TestALargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, fake.NewStore(), "a")
		ticket := a.claimed(t, arrival("r1", "k"))
		ticket.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201, Body: make([]byte, 1<<20)}})
		_, answer := a.Begin(context.Background(), arrival("r2", "k"))
		if answer == nil || answer.Verdict != claim.Ran || answer.Reply.Status != 201 {
			t.Errorf("the resend was told %+v", answer)
		}
	})
}

func ExampleBook() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	b := claim.NewClaimer(fake.NewStore(), "10.0.1.7")
	go b.Run(ctx, done)

	ticket, _ := b.Begin(ctx, arrival("r1", "wardrobe"))
	if answer, err := ticket.Claim(ctx); answer == nil && err == nil && ticket.MaySend(time.Now()) {
		ticket.Finish(claim.Result{Kind: claim.ServerAnswered, Reply: claim.Reply{Status: 201}})
	}
	_, answer := b.Begin(ctx, arrival("r2", "wardrobe"))
	fmt.Println(answer.Verdict, answer.Reply.Status)
	stop()
	<-done
	// Output:
	// Replay 201
}
