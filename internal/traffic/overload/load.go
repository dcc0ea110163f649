package overload

import "time"

// Load is what the servers of a service bear, by the news of all hosts.
type Load struct {
	// Servers counts the servers, Slots the requests that they run at once, and InFlight those sent to them by all hosts. Ahead counts
	// those of them that come before the request.
	Servers, Slots, InFlight, Ahead int
	// Wait is the mean of the times that the servers need to prefill the prompts that come before the request, and WaitIfLate that if
	// it is sent as a late one.
	Wait, WaitIfLate time.Duration
}

// crowded reports whether so many places are taken that requests may be refused.
func (l Load) crowded() bool { return l.Slots > 0 && l.share() >= crowdedShare }

// waiting reports whether prompts wait for others: on average, each server has got more than one request.
func (l Load) waiting() bool { return l.InFlight > l.Servers }

func (l Load) share() float64 { return l.shareOf(l.InFlight) }

func (l Load) shareOf(requests int) float64 { return float64(requests) / float64(max(l.Slots, 1)) }
