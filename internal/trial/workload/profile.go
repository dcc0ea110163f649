// Package workload is an open-loop load generator: it sends requests to hosts at
// the rates of a profile, however slowly they are answered. The profile gives the
// organisations, classes, rates, bursts and lengths of requests. The report gives
// the share of requests of each class that met their targets (attainment), the
// tokens per second in answers within their targets (goodput), the refusals and the
// worst-served organisation.
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

// Profile describes the requests of a run.
type Profile struct {
	Name string
	// Seed determines arrivals and lengths: runs with the same seed offer the same requests.
	Seed uint64
	// Duration is the time for which requests are offered.
	Duration object.Duration
	// Sources offer requests independently of each other.
	Sources []Source
}

// Source is a stream of similar requests of one organisation.
type Source struct {
	Organisation string
	// Key is the organisation's API key; empty for open routes.
	Key string `json:",omitempty"`
	// Class is the requested class; empty for the route's default.
	Class string `json:",omitempty"`
	// Model is the model of model requests, Path the path of requests to a plain service. Exactly one is set.
	Model string `json:",omitempty"`
	Path  string `json:",omitempty"`
	// Rate is the mean number of requests per second outside the burst.
	Rate float64
	// Burst is the factor by which Rate is multiplied from BurstAt on for BurstFor.
	Burst    float64         `json:",omitempty"`
	BurstAt  object.Duration `json:",omitempty"`
	BurstFor object.Duration `json:",omitempty"`
	// PromptWords and OutputTokens are the medians of log-normal distributions of lengths; Spread is their sigma.
	PromptWords  int     `json:",omitempty"`
	OutputTokens int     `json:",omitempty"`
	Spread       float64 `json:",omitempty"`
	// FirstToken and BetweenTokens are the targets that attainment is measured by; zero for no target.
	FirstToken    object.Duration `json:",omitempty"`
	BetweenTokens object.Duration `json:",omitempty"`
	// Resend makes the caller send a call again, with the same Idempotency-Key, after a lost connection or a 5xx response
	// that does not say "not run".
	Resend bool `json:",omitempty"`
}

// ReadProfile reads and checks a profile in YAML or JSON.
func ReadProfile(r io.Reader) (Profile, error) {
	b, err := io.ReadAll(io.LimitReader(r, object.MaxFileBytes))
	if err != nil {
		return Profile{}, err
	}
	var p Profile
	if err := yaml.UnmarshalStrict(b, &p); err != nil {
		return Profile{}, errors.Wrap(err, "cannot parse the profile; correct it")
	}
	return p, p.Check()
}

// MaxOffered is the maximum number of requests in one run.
const MaxOffered = 200_000

// Check returns an error if the profile is invalid.
func (p Profile) Check() error {
	if p.Duration <= 0 || len(p.Sources) == 0 {
		return errors.New("the profile needs Duration above zero and at least one entry in Sources")
	}
	var total float64
	for i, s := range p.Sources {
		if (s.Model == "") == (s.Path == "") {
			return fmt.Errorf("source %d needs either Model or Path; set one of the two", i+1)
		}
		if s.Rate < 0 || s.Burst < 0 || s.Spread < 0 || s.PromptWords < 0 || s.OutputTokens < 0 {
			return fmt.Errorf("source %d has a negative Rate, Burst, Spread, PromptWords or OutputTokens; use zero or more", i+1)
		}
		total += s.Rate*time.Duration(p.Duration).Seconds() + s.Rate*max(0, s.Burst-1)*time.Duration(s.BurstFor).Seconds()
	}
	if total > MaxOffered {
		return fmt.Errorf("the profile offers about %.0f requests; lower Rate, Burst or Duration to offer at most %d", total, MaxOffered)
	}
	return nil
}

// arrival is a request to be sent at an offset from the start of the run.
type arrival struct {
	offset       time.Duration
	source       *Source
	promptWords  int
	outputTokens int
	number       int
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
		out = append(out, arrival{offset: at, source: s, promptWords: s.randomLength(rng, s.PromptWords), outputTokens: s.randomLength(rng, s.OutputTokens)})
	}
}

func (s *Source) randomLength(rng *rand.Rand, median int) int {
	if median == 0 {
		return 0
	}
	return max(1, int(float64(median)*math.Exp(rng.NormFloat64()*s.Spread)))
}
