package acceptance

import (
	"slices"
	"testing"
	"time"
)

var committed = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const grace = time.Minute

func TestEvaluate(t *testing.T) {
	at := func(d time.Duration) time.Time { return committed.Add(d) }
	hosts := map[string][]string{"mid-a": {"a1", "a2"}}
	cases := map[string]struct {
		hosts    map[string][]string
		statuses []ZoneStatus
		now      time.Time
		want     State
		missing  []string
		accepted bool
	}{
		"each host acknowledged": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 7, Acked: []string{"a1", "a2"}, Time: at(time.Second)}},
			at(2 * time.Second), InForce, nil, true,
		},
		"an acknowledgement stays valid when the zone is cut off later": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 7, Acked: []string{"a1", "a2"}, Time: at(time.Second)}},
			at(time.Hour), InForce, nil, true,
		},
		"an acknowledgement of a later release counts for the earlier one": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 8, Acked: []string{"a1", "a2"}, Time: at(time.Second)}},
			at(2 * time.Second), InForce, nil, true,
		},
		"a host with an earlier release is missing although its zone has a later one": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 8, Acked: []string{"a1"}, Late: []LateHost{{Name: "a2", Release: 6}}, Time: at(time.Second)}},
			at(2 * time.Second), Late,
			[]string{"a2"},
			false,
		},
		"a host without a report from the relay is missing": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 7, Acked: []string{"a1"}, Time: at(time.Second)}},
			at(2 * time.Second), Late,
			[]string{"a2"},
			false,
		},
		"a host that only the relay knows is missing": {
			nil,
			[]ZoneStatus{{Zone: "mid-a", Release: 7, Acked: []string{"a1"}, Late: []LateHost{{Name: "a9", Release: 6, Silent: true}}, Time: at(time.Second)}},
			at(2 * time.Second), Late,
			[]string{"a9"},
			false,
		},
		"a zone without a status is cut off": {
			hosts, nil, at(time.Second), CutOff, []string{"a1", "a2"}, false,
		},
		"a zone with an old status is cut off": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 6, Acked: []string{"a1", "a2"}, Time: at(-2 * time.Minute)}},
			at(time.Second), CutOff,
			[]string{"a1", "a2"},
			false,
		},
		"a cut-off zone is accepted when its grace has run out": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 6, Acked: []string{"a1", "a2"}, Time: at(-2 * time.Minute)}},
			at(grace + clockMargin), Expired,
			[]string{"a1", "a2"},
			true,
		},
		"a cut-off zone is not accepted before its grace has run out": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 6, Acked: []string{"a1", "a2"}, Time: at(-2 * time.Minute)}},
			at(grace + clockMargin - 1), CutOff,
			[]string{"a1", "a2"},
			false,
		},
		"a longer grace of an earlier release counts": {
			hosts,
			[]ZoneStatus{{Zone: "mid-a", Release: 6, Acked: []string{"a1", "a2"}, Grace: time.Hour, Time: at(-2 * time.Minute)}},
			at(grace + clockMargin), CutOff,
			[]string{"a1", "a2"},
			false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := Evaluate(c.now, Input{Release: 7, Committed: committed, Grace: grace, Hosts: c.hosts, Statuses: c.statuses})
			if len(v.Zones) != 1 || v.Zones[0].State != c.want || !slices.Equal(v.Zones[0].Missing, c.missing) || v.Accepted != c.accepted {
				t.Fatalf("got %+v", v)
			}
		})
	}
}

func TestMerge(t *testing.T) {
	z := ZoneStatus{Release: 7, Acked: []string{"b"}, Late: []LateHost{{Name: "a", Release: 6}, {Name: "c", Release: 6}}}
	z.Merge(&ZoneStatus{Release: 7, Acked: []string{"a"}})
	if !slices.Equal(z.Acked, []string{"a", "b"}) || len(z.Late) != 1 || z.Late[0].Name != "c" {
		t.Fatalf("got %+v", z)
	}
	z.Merge(&ZoneStatus{Release: 6, Acked: []string{"c"}})
	if len(z.Late) != 1 {
		t.Fatal("the acknowledgement of an earlier release was counted for a later one")
	}
}
