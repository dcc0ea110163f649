package exchange

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// maxNames is the length of a table of names at which the sender starts anew.
	maxNames = 8192
	// maxFull bounds the values of a full state.
	maxFull = 4 * maxNames
)

func fingerprint(f uint64) string { return strconv.FormatUint(f, 36) }

func parseFingerprint(s string) (uint64, bool) {
	f, err := strconv.ParseUint(s, 36, 64)
	return f, err == nil
}

// sent is what the receivers know of one value.
type sent struct {
	value int64
	index uint32
	// at is the sequence of the message that last held it.
	at uint64
}

// Encoder turns the states of one source into messages. All receivers get each message, or ask for [Encoder.Full].
type Encoder struct {
	source, zone string
	limit        int
	sequence     uint64
	names        []string
	known        map[key]*sent
	taken        time.Time
}

// NewEncoder returns an Encoder whose messages hold at most limit changes.
func NewEncoder(source, zone string, limit int) *Encoder {
	return &Encoder{source: source, zone: zone, limit: limit, known: map[key]*sent{}}
}

// Next returns the message that brings receivers nearer to h: the changes, the longest untold first
// and each kind within its share of the limit.
func (e *Encoder) Next(now time.Time, h *dispatch.HostState) *wire.State {
	if len(e.names) >= maxNames {
		e.names, e.known = nil, map[key]*sent{}
	}
	e.sequence++
	e.taken = now
	m := &wire.State{Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: len(e.names) == 0, FirstName: uint32(len(e.names))}
	v := flatten(h)
	for _, k := range e.pick(v) {
		e.add(m, k, v[k])
	}
	return m
}

// pick chooses the changed keys that go into the next message.
func (e *Encoder) pick(v values) []key {
	changed := map[kind][]key{}
	for k, n := range v {
		if s, ok := e.known[k]; !ok || s.value != n {
			changed[k.kind] = append(changed[k.kind], k)
		}
	}
	for k, s := range e.known {
		// Served work that has not changed of late is left out of a state and has not gone.
		if _, ok := v[k]; !ok && s.value != 0 && k.kind != served {
			changed[k.kind] = append(changed[k.kind], k)
		}
	}
	var out []key
	left, share := e.limit, e.limit/3
	for pass := range 2 {
		for _, kd := range kinds {
			if pass == 0 {
				e.sort(changed[kd])
			}
			n := min(len(changed[kd]), left)
			if pass == 0 {
				n = min(n, share)
			}
			out = append(out, changed[kd][:n]...)
			changed[kd] = changed[kd][n:]
			left -= n
		}
	}
	return out
}

func (e *Encoder) sort(keys []key) {
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(e.told(a), e.told(b)), cmp.Compare(a.a, b.a), cmp.Compare(a.b, b.b), cmp.Compare(a.c, b.c))
	})
}

func (e *Encoder) told(k key) uint64 {
	if s, ok := e.known[k]; ok {
		return s.at
	}
	return 0
}

func (e *Encoder) add(m *wire.State, k key, n int64) {
	s, ok := e.known[k]
	if !ok {
		s = &sent{index: uint32(len(e.names))}
		e.known[k] = s
		name := k.String()
		e.names = append(e.names, name)
		m.Names = append(m.Names, name)
	}
	s.value, s.at = n, e.sequence
	m.Indexes = append(m.Indexes, s.index)
	m.Values = append(m.Values, n)
}

// Full returns all that receivers of every message know, for one that missed some; nil before the first message.
func (e *Encoder) Full(now time.Time) *wire.State {
	if e.sequence == 0 {
		return nil
	}
	m := &wire.State{
		Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: true, Names: slices.Clone(e.names),
		Age: uint64(max(now.Sub(e.taken), 0) / time.Millisecond),
	}
	for _, s := range e.known {
		if s.value != 0 {
			m.Indexes = append(m.Indexes, s.index)
			m.Values = append(m.Values, s.value)
		}
	}
	return m
}

// GapError is a state of which an earlier one is missing, or one that contradicts its table of names.
type GapError struct {
	Source        string
	Have, Arrived uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("state %d of %s came after state %d; ask for a full state", e.Arrived, e.Source, e.Have)
}

// Decoder rebuilds the states of one source.
type Decoder struct {
	sequence uint64
	names    []key
	values   values
}

// NewDecoder returns a Decoder that needs a full state first.
func NewDecoder() *Decoder { return &Decoder{values: values{}} }

// Next takes a message and returns the state of its source, of whose served work only the changes. It returns
// a [GapError] if a full state is needed.
func (d *Decoder) Next(now time.Time, m *wire.State) (dispatch.HostState, error) {
	recent, err := d.take(m)
	if err != nil {
		return dispatch.HostState{}, err
	}
	h := unflatten(d.values, recent)
	h.Host, h.Zone = m.GetSource(), m.GetZone()
	h.At = now.Add(-time.Duration(min(m.GetAge(), uint64(time.Hour/time.Millisecond))) * time.Millisecond)
	return h, nil
}

func (d *Decoder) take(m *wire.State) (values, error) {
	gap := &GapError{Source: m.GetSource(), Have: d.sequence, Arrived: m.GetSequence()}
	if m.GetFull() {
		d.names, d.values = nil, values{}
	} else if d.sequence == 0 || m.GetSequence() != d.sequence+1 {
		return nil, gap
	}
	d.sequence = 0
	if int(m.GetFirstName()) != len(d.names) || len(d.names)+len(m.GetNames()) > maxFull || len(m.GetIndexes()) != len(m.GetValues()) {
		return nil, gap
	}
	for _, name := range m.GetNames() {
		k, ok := parseKey(name)
		if !ok {
			// A kind of a newer version keeps its place in the table and is ignored.
			k = key{}
		}
		d.names = append(d.names, k)
	}
	recent := values{}
	for i, index := range m.GetIndexes() {
		if int(index) >= len(d.names) {
			return nil, gap
		}
		k, n := d.names[index], m.GetValues()[i]
		recent[k] = n
		switch {
		case k.kind == served:
		case n == 0:
			delete(d.values, k)
		default:
			d.values[k] = n
		}
	}
	d.sequence = m.GetSequence()
	return recent, nil
}
