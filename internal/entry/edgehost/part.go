package edgehost

import (
	"time"

	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/suspect"
)

// encodePartReports returns the crashes and answers by part of the prompt for a packet, with their ages at now.
func encodePartReports(state placement.HostState, now time.Time) ([]*gossip.PartCrash, []*gossip.PartAnswer) {
	var crashes []*gossip.PartCrash
	for _, c := range state.PartCrashes {
		crashes = append(crashes, &gossip.PartCrash{Server: c.Server, AgoMs: now.Sub(c.At).Milliseconds(), Parts: c.Parts})
	}
	var answers []*gossip.PartAnswer
	for _, a := range state.PartAnswers {
		answers = append(answers, &gossip.PartAnswer{Part: a.Part, AgoMs: now.Sub(a.At).Milliseconds()})
	}
	return crashes, answers
}

// decodePartReports returns the crashes and answers by part of the prompt in a packet that arrived at now. A time in the
// future would clear later crashes, so it counts as now.
func decodePartReports(p *gossip.Packet, now time.Time) ([]suspect.PartCrash, []suspect.PartAnswer) {
	at := func(agoMs int64) time.Time { return now.Add(-time.Duration(max(agoMs, 0)) * time.Millisecond) }
	var crashes []suspect.PartCrash
	for _, c := range p.GetPartCrashes() {
		crashes = append(crashes, suspect.PartCrash{Server: c.GetServer(), At: at(c.GetAgoMs()), Parts: c.GetParts()})
	}
	var answers []suspect.PartAnswer
	for _, a := range p.GetPartAnswers() {
		answers = append(answers, suspect.PartAnswer{Part: a.GetPart(), At: at(a.GetAgoMs())})
	}
	return crashes, answers
}
