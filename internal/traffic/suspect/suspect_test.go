package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/traffic/request"
)

var start = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

// crashAll starts an attempt with each fingerprint on server and breaks all of them at the time at.
func crashAll(t *Tracker, at time.Time, server string, fps ...uint64) {
	for _, fp := range fps {
		t.Started(at, fp, request.ID(fmt.Sprint(server, fp)), server)
	}
	for _, fp := range fps {
		id := request.ID(fmt.Sprint(server, fp))
		t.Finished(at, id, request.Result{ID: id, Server: server, Outcome: request.Broken})
	}
}

func complete(t *Tracker, at time.Time, server string, fp uint64) {
	t.Started(at, fp, "c", server)
	t.Finished(at, "c", request.Result{ID: "c", Server: server, Outcome: request.Completed})
}

func TestVerdictAfterCrashes(t *testing.T) {
	convey.Convey("Given a tracker", t, func() {
		tr := New()
		convey.Convey("a crash counts once against each fingerprint that ran on the server", func() {
			crashAll(tr, start, "a1", 1, 2, 2, 3)
			convey.So(tr.Marks(), convey.ShouldResemble, map[uint64]int{1: 1, 2: 1, 3: 1})
			convey.So(tr.Verdict(start, 1), convey.ShouldEqual, Isolate)
			convey.So(tr.Allowed(1, "a2") && tr.Allowed(2, "a2"), convey.ShouldBeTrue)
			convey.So(tr.RunAfter(start, 1).IsZero(), convey.ShouldBeTrue)
			convey.Convey("a completion elsewhere lifts the mark", func() {
				complete(tr, start.Add(time.Second), "a2", 2)
				convey.So(tr.Verdict(start, 2), convey.ShouldEqual, Free)
			})
			convey.Convey("after the second crash it runs later and on separate servers, after the third it is held", func() {
				crashAll(tr, start.Add(time.Second), "a2", 1)
				crashAll(tr, start.Add(time.Second), "a2", 2)
				convey.So(tr.Allowed(1, "a4"), convey.ShouldNotEqual, tr.Allowed(2, "a4"))
				convey.So(tr.RunAfter(start.Add(time.Second), 1), convey.ShouldEqual, start.Add(time.Second+propagationTime))
				crashAll(tr, start.Add(5*time.Second), "a3", 1)
				convey.So(tr.Verdict(start.Add(5*time.Second), 1), convey.ShouldEqual, Held)
				convey.So(tr.RefuseAfter(1), convey.ShouldEqual, start.Add(5*time.Second+propagationTime))
				convey.So(tr.Suspects(start.Add(5 * time.Second))[0].Fingerprint, convey.ShouldEqual, 1)
				convey.Convey("until an operator lifts the mark", func() {
					tr.Lift(1)
					convey.So(tr.Verdict(start.Add(5*time.Second), 1), convey.ShouldEqual, Free)
				})
				convey.Convey("or until it expires", func() {
					convey.So(tr.Verdict(start.Add(markTTL+6*time.Second), 1), convey.ShouldEqual, Free)
				})
			})
		})
		convey.Convey("a broken stream is not a crash if another attempt on the server completes later", func() {
			tr.Started(start, 9, "long", "a1")
			crashAll(tr, start, "a1", 1)
			tr.Finished(start.Add(time.Second), "long", request.Result{ID: "long", Server: "a1", Outcome: request.Completed})
			convey.So(tr.Verdict(start, 1), convey.ShouldEqual, Free)
		})
		convey.Convey("the loss of a zone marks only fingerprints that ran on several of its servers", func() {
			crashAll(tr, start, "a1", 1, 2)
			crashAll(tr, start.Add(10*time.Millisecond), "a2", 3, 2)
			crashAll(tr, start.Add(20*time.Millisecond), "a3", 4)
			convey.So(tr.Marks(), convey.ShouldResemble, map[uint64]int{2: 2})
		})
		convey.Convey("an unknown fingerprint is never marked", func() {
			crashAll(tr, start, "a1", 0)
			convey.So(tr.Marks(), convey.ShouldBeEmpty)
		})
	})
}

func TestMarksOfOtherHosts(t *testing.T) {
	convey.Convey("Given marks of two hosts", t, func() {
		tr := New()
		crashAll(tr, start, "a1", 1)
		tr.UpdatePeer(start, "h2", map[uint64]int{1: 1, 2: 1})
		convey.Convey("their counts add up, and repeated reports change nothing", func() {
			tr.UpdatePeer(start, "h2", map[uint64]int{1: 1, 2: 1})
			tr.UpdatePeer(start, "h3", map[uint64]int{1: 1})
			convey.So(tr.Verdict(start, 1), convey.ShouldEqual, Held)
			convey.So(tr.Marks(), convey.ShouldResemble, map[uint64]int{1: 1})
		})
		convey.Convey("a mark that its host has lifted is lifted here too", func() {
			tr.UpdatePeer(start, "h2", map[uint64]int{})
			convey.So(tr.Verdict(start, 2), convey.ShouldEqual, Free)
			convey.So(tr.Verdict(start, 1), convey.ShouldEqual, Isolate)
		})
		convey.Convey("a completion on this host discounts the crashes of peers, and their later crashes count again", func() {
			complete(tr, start, "a2", 2)
			convey.So(tr.Verdict(start, 2), convey.ShouldEqual, Free)
			tr.UpdatePeer(start, "h2", map[uint64]int{2: 2})
			convey.So(tr.Verdict(start, 2), convey.ShouldEqual, Isolate)
		})
		convey.Convey("the marks of a host without reports expire", func() {
			tr.UpdatePeer(start.Add(markTTL+time.Second), "h3", nil)
			convey.So(tr.Verdict(start.Add(markTTL+time.Second), 2), convey.ShouldEqual, Free)
		})
	})
}

func TestMemoryIsBounded(t *testing.T) {
	tr := New()
	for i := range uint64(3 * maxMarks) {
		crashAll(tr, start.Add(time.Duration(i)*time.Minute), fmt.Sprint(i%50), i+1)
		tr.UpdatePeer(tr.now, "h2", map[uint64]int{i + 1: 1, i + 1<<40: 1})
	}
	if len(tr.marks) > maxMarks || len(tr.peerCrashes) > maxMarks || len(tr.attempts) != 0 || len(tr.running) != 0 {
		t.Errorf("marks %d peerCrashes %d attempts %d running %d", len(tr.marks), len(tr.peerCrashes), len(tr.attempts), len(tr.running))
	}
}
