// Package workload offers open-loop traffic to entry hosts from a profile of
// organisations, classes, rates, bursts and lengths, and measures what callers
// get: attainment by class, goodput, refusals and the worst-served organisation.
package workload

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"shallotramp/internal/catalog/object"
)

// Profile describes the traffic of a run.
type Profile struct {
	Name string
	// Seed makes arrivals and lengths the same in each run.
	Seed uint64
	// Duration is how long requests are offered.
	Duration object.Duration
	// Sources offer requests independently of each other.
	Sources []Source
}

// Source is a stream of similar requests of one organisation.
type Source struct {
	Organisation string
	// Key is the organisation's API key; empty for open routes.
	Key string `json:",omitempty"`
	// Class asked for; empty for the route's default.
	Class string `json:",omitempty"`
	// Model of a model request, or Path of a plain service.
	Model string `json:",omitempty"`
	Path  string `json:",omitempty"`
	// Rate is the mean number of requests per second outside the burst.
	Rate float64
	// Burst multiplies the rate from BurstAt on for BurstFor.
	Burst    float64         `json:",omitempty"`
	BurstAt  object.Duration `json:",omitempty"`
	BurstFor object.Duration `json:",omitempty"`
	// PromptWords and OutputTokens are medians of log-normal lengths; Spread is their sigma.
	PromptWords  int     `json:",omitempty"`
	OutputTokens int     `json:",omitempty"`
	Spread       float64 `json:",omitempty"`
	// FirstToken and BetweenTokens are the targets by which attainment is judged; zero is none.
	FirstToken    object.Duration `json:",omitempty"`
	BetweenTokens object.Duration `json:",omitempty"`
	// Resend sends a non-idempotent call again, with the same Idempotency-Key, after an answer that says "may have run".
	Resend bool `json:",omitempty"`
}

// ReadProfile reads a profile in YAML or JSON and checks it.
func ReadProfile(r io.Reader) (Profile, error) {
	b, err := io.ReadAll(io.LimitReader(r, object.MaxFileBytes))
	if err != nil {
		return Profile{}, err
	}
	var p Profile
	if err := yaml.UnmarshalStrict(b, &p); err != nil {
		return Profile{}, errors.Wrap(err, "correct the profile")
	}
	return p, p.Check()
}

// MaxOffered bounds the requests of one run.
const MaxOffered = 200_000

// Check verifies that the profile can be run.
func (p Profile) Check() error {
	if p.Duration <= 0 || len(p.Sources) == 0 {
		return errors.New("the profile needs a Duration and at least one of Sources")
	}
	var total float64
	for i, s := range p.Sources {
		if (s.Model == "") == (s.Path == "") {
			return fmt.Errorf("source %d needs either Model or Path", i+1)
		}
		if s.Rate < 0 || s.Burst < 0 || s.Spread < 0 || s.PromptWords < 0 || s.OutputTokens < 0 {
			return fmt.Errorf("source %d has a negative number; use zero or more", i+1)
		}
		total += s.Rate*time.Duration(p.Duration).Seconds() + s.Rate*max(0, s.Burst-1)*time.Duration(s.BurstFor).Seconds()
	}
	if total > MaxOffered {
		return fmt.Errorf("the profile offers about %.0f requests; lower Rate or Duration below %d", total, MaxOffered)
	}
	return nil
}

// arrival is one request to be sent.
type arrival struct {
	at     time.Duration
	source *Source
	prompt int
	output int
	number int
}

// arrivals draws the requests of one source as a Poisson process with a burst.
func (s *Source) arrivals(rng *rand.Rand, until time.Duration) []arrival {
	var out []arrival
	if s.Rate <= 0 {
		return nil
	}
	at := time.Duration(0)
	for {
		rate := s.Rate
		if s.Burst > 0 && at >= time.Duration(s.BurstAt) && at < time.Duration(s.BurstAt+s.BurstFor) {
			rate *= s.Burst
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return out
		}
		out = append(out, arrival{at: at, source: s, prompt: s.length(rng, s.PromptWords), output: s.length(rng, s.OutputTokens)})
	}
}

func (s *Source) length(rng *rand.Rand, median int) int {
	if median == 0 {
		return 0
	}
	return max(1, int(float64(median)*math.Exp(rng.NormFloat64()*s.Spread)))
}
