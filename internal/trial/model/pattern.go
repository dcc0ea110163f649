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

// Pattern is a deployment and the load that it bears.
type Pattern struct {
	Name string
	// About says which load the pattern is.
	About   string
	Length  object.Duration
	Hosts   int
	Zones   int
	Engines int
	Engine  EngineSpec
	Classes []Class
	// Lost engines vanish at LostAt, the last ones first.
	Lost   int
	LostAt object.Duration
}

// EngineSpec is an [Engine] in a file.
type EngineSpec struct {
	Slots, CacheTokens, Chunk, Stride      int
	Step, StepPerSlot, ReadPerToken, First object.Duration
	Fetch                                  object.Duration
}

func (s EngineSpec) engine() EngineConfig {
	return EngineConfig{
		Slots: s.Slots, CacheTokens: s.CacheTokens, PrefillChunk: s.Chunk, TokensPerEvent: s.Stride, Step: time.Duration(s.Step),
		StepPerSlot: time.Duration(s.StepPerSlot), PrefillPerToken: time.Duration(s.ReadPerToken),
		FirstTokenDelay: time.Duration(s.First), CacheFetchTime: time.Duration(s.Fetch),
	}
}

// Class is a kind of request.
type Class struct {
	Name string
	Tier int
	// Rate is requests a second; from BurstAt for BurstFor it is Burst times as high.
	Rate, Burst       float64
	BurstAt, BurstFor object.Duration
	// Shared parts are drawn from so many things each; Own is the mean of the request's own part.
	Shared []SharedPart
	Own    int
	// Tokens is the mean length of the answer.
	Tokens int
	// Goal is the time to the first event, Gap the longest pause, Deadline the caller's patience.
	Goal, Gap, Deadline object.Duration
	Resumable           bool
}

// SharedPart is a part of prompts that requests have in common.
type SharedPart struct{ Tokens, Things int }

// PatternError is a pattern that cannot be played.
type PatternError struct{ Name, Problem string }

func (e *PatternError) Error() string {
	return fmt.Sprintf("load pattern %q: %s; see 'shallotramp experiment --list'", e.Name, e.Problem)
}

// BuiltinPatterns returns the load patterns that come with the program.
func BuiltinPatterns() ([]Pattern, error) { return ReadPatterns(patternFile) }

// ReadPatterns reads load patterns from a file of them.
func ReadPatterns(raw []byte) ([]Pattern, error) {
	var out []Pattern
	if err := yaml.UnmarshalStrict(raw, &out); err != nil {
		return nil, &PatternError{Problem: err.Error()}
	}
	for _, p := range out {
		switch {
		case p.Hosts < 1 || p.Zones < 1 || p.Engines < p.Zones:
			return nil, &PatternError{p.Name, "needs a host, a zone and an engine in each zone"}
		case p.Length <= 0 || len(p.Classes) == 0:
			return nil, &PatternError{p.Name, "needs a length and classes"}
		case p.Engine.Slots < 1 || p.Engine.Chunk < 1 || p.Engine.Stride < 1 || p.Engine.Step <= 0:
			return nil, &PatternError{p.Name, "needs engines with slots, chunk, stride and step"}
		}
	}
	return out, nil
}

// BuiltinPattern returns the pattern with a name that comes with the program.
func BuiltinPattern(name string) (Pattern, error) {
	all, err := BuiltinPatterns()
	if err != nil {
		return Pattern{}, err
	}
	return FindPattern(all, name)
}

// FindPattern returns the pattern with a name.
func FindPattern(all []Pattern, name string) (Pattern, error) {
	for _, p := range all {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &PatternError{name, "is not known"}
}
