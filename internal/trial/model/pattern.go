package model

import (
	_ "embed"
	"fmt"
	"time"

	"sigs.k8s.io/yaml"

	"shallotramp/internal/catalog/object"
)

//go:embed patterns.yaml
var patternFile []byte

// Pattern is a load pattern: a deployment and the requests that it gets.
type Pattern struct {
	Name string
	// About describes the load in one line.
	About   string
	Length  object.Duration
	Hosts   int
	Zones   int
	Engines int
	Engine  EngineSpec
	Classes []Class
	// SameZoneNews and OtherZoneNews are the intervals at which hosts send their state to hosts of their own availability
	// zone and of other ones, if they differ from the usual ones.
	SameZoneNews, OtherZoneNews object.Duration
	// Paces multiplies the durations of the engines' steps, by turns; none means 1. Says is set if the engines say in
	// answers how long work takes at the moment.
	Paces []float64
	Says  bool
	// For a share MomentShare of the periods of MomentLength, drawn for each engine, its steps take MomentPace times as
	// long.
	MomentShare, MomentPace float64
	MomentLength            object.Duration
	// Lost is the number of engines that fail at LostAt. The last ones in the list fail.
	Lost   int
	LostAt object.Duration
}

// EngineSpec is an [EngineConfig] as written in a file of load patterns.
type EngineSpec struct {
	Slots, CacheTokens, Chunk, Stride      int
	Step, StepPerSlot, ReadPerToken, First object.Duration
	Fetch                                  object.Duration
}

func (s EngineSpec) config() EngineConfig {
	return EngineConfig{
		Slots: s.Slots, CacheTokens: s.CacheTokens, PrefillChunk: s.Chunk, TokensPerEvent: s.Stride, Step: time.Duration(s.Step),
		StepPerSlot: time.Duration(s.StepPerSlot), PrefillPerToken: time.Duration(s.ReadPerToken),
		FirstTokenDelay: time.Duration(s.First), CacheFetchTime: time.Duration(s.Fetch),
	}
}

// Class describes the requests of one class.
type Class struct {
	Name string
	Tier int
	// Rate is the mean number of requests per second. From BurstAt on, it is multiplied by Burst for BurstFor.
	Rate, Burst       float64
	BurstAt, BurstFor object.Duration
	// Shared lists the parts at the start of a prompt that requests share. Own is the mean number of tokens of the part
	// that is unique to a request.
	Shared []SharedPart
	Own    int
	// Tokens is the mean number of tokens of an answer.
	Tokens int
	// Goal is the target for the time to the first event, and Gap that for the longest time between two events. After
	// Deadline, the caller closes the connection.
	Goal, Gap, Deadline object.Duration
	Resumable           bool
}

// SharedPart is a part of prompts that requests share. Things is the number of its variants, of which each request gets
// one at random, and Tokens is the length of each variant.
type SharedPart struct{ Tokens, Things int }

// PatternError reports a load pattern that is unknown or invalid.
type PatternError struct{ Name, Problem string }

func (e *PatternError) Error() string {
	return fmt.Sprintf("load pattern %q: %s; see 'shallotramp experiment --list'", e.Name, e.Problem)
}

// BuiltinPatterns returns the load patterns embedded in the program.
func BuiltinPatterns() ([]Pattern, error) { return ReadPatterns(patternFile) }

// ReadPatterns parses a YAML list of load patterns and checks each.
func ReadPatterns(raw []byte) ([]Pattern, error) {
	var out []Pattern
	if err := yaml.UnmarshalStrict(raw, &out); err != nil {
		return nil, &PatternError{Problem: err.Error()}
	}
	for _, p := range out {
		switch {
		case p.Hosts < 1 || p.Zones < 1 || p.Engines < p.Zones:
			return nil, &PatternError{p.Name, "needs at least one host, one zone and one engine per zone; correct Hosts, Zones and Engines"}
		case p.Length <= 0 || len(p.Classes) == 0:
			return nil, &PatternError{p.Name, "needs Length above zero and at least one entry in Classes"}
		case p.Engine.Slots < 1 || p.Engine.Chunk < 1 || p.Engine.Stride < 1 || p.Engine.Step <= 0:
			return nil, &PatternError{p.Name, "needs Slots, Chunk, Stride and Step above zero in Engine"}
		}
	}
	return out, nil
}

// BuiltinPattern returns the embedded load pattern with the given name.
func BuiltinPattern(name string) (Pattern, error) {
	all, err := BuiltinPatterns()
	if err != nil {
		return Pattern{}, err
	}
	return FindPattern(all, name)
}

// FindPattern returns the load pattern with the given name from all.
func FindPattern(all []Pattern, name string) (Pattern, error) {
	for _, p := range all {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &PatternError{name, "does not exist"}
}
