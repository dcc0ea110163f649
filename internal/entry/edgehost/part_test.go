package edgehost

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/suspect"
)

// TestPartReports guards against crashes and answers that reach other hosts without their parts or with wrong times.
func TestPartReports(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	state := placement.HostState{
		PartCrashes: []suspect.PartCrash{{Server: "i-1", At: now.Add(-time.Second), Parts: []uint64{1, 1 << 63}}},
		PartAnswers: []suspect.PartAnswer{{Part: 1 << 63, At: now.Add(-2 * time.Second)}},
	}
	var sent, received gossip.Packet
	sent.PartCrashes, sent.PartAnswers = encodePartReports(state, now)
	raw, err := proto.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(raw, &received); err != nil {
		t.Fatal(err)
	}
	crashes, answers := decodePartReports(&received, now)
	if !reflect.DeepEqual(crashes, state.PartCrashes) || !reflect.DeepEqual(answers, state.PartAnswers) {
		t.Errorf("got %v, %v; want %v, %v", crashes, answers, state.PartCrashes, state.PartAnswers)
	}
	_, future := decodePartReports(&gossip.Packet{PartAnswers: []*gossip.PartAnswer{{Part: 1, AgoMs: -1000}}}, now)
	if future[0].At.After(now) {
		t.Errorf("an answer at %s is in the future", future[0].At)
	}
}
