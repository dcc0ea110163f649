package statesync

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
	// maxSentKeys is the number of keys at which an Encoder clears its tables and starts again with a full state.
	maxSentKeys = 8192
	// valueCostBytes estimates the encoded size of a changed value, keyCostBytes that of a new key, and
	// nameCostBytes that of a new name without its text.
	valueCostBytes = 5
	keyCostBytes   = 7
	nameCostBytes  = 2
	// numbersPerKey is how many numbers encode a key: its kind and three name references.
	numbersPerKey = 4
	// maxReceivedEntries bounds each table of a Decoder.
	maxReceivedEntries = 4 * maxSentKeys
)

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 36) }

func parseFingerprint(s string) (uint64, bool) {
	f, err := strconv.ParseUint(s, 36, 64)
	return f, err == nil
}

// sentValue is the last value sent for one key.
type sentValue struct {
	value int64
	// index is the position of the key in the key table.
	index uint32
	// sequence is the sequence number of the last message that held the value.
	sequence uint64
}

// Encoder encodes the successive states of one source as messages that hold only changes. Every receiver needs
// every message; one that missed a message requests the result of [Encoder.Full].
type Encoder struct {
	source, zone string
	limitBytes   int
	sequence     uint64
	// names and keys are the tables that receivers hold. nameIndexes maps a name to its position in names.
	names       []string
	nameIndexes map[string]uint32
	keys        []uint32
	sent        map[key]*sentValue
	// stateTime is when the last encoded state was taken.
	stateTime time.Time
}

// NewEncoder returns an Encoder whose messages take at most about limitBytes.
func NewEncoder(source, zone string, limitBytes int) *Encoder {
	return &Encoder{source: source, zone: zone, limitBytes: limitBytes, nameIndexes: map[string]uint32{}, sent: map[key]*sentValue{}}
}

// SetLimit sets the maximum size of the changes in one message and returns the previous one.
func (e *Encoder) SetLimit(limitBytes int) int {
	previous := e.limitBytes
	e.limitBytes = limitBytes
	return previous
}

// Encode returns a message with the changes from the sent values to h that fit the limit. Changes that do not fit
// are left to later messages.
func (e *Encoder) Encode(now time.Time, h *dispatch.HostState) *wire.State {
	if len(e.sent) >= maxSentKeys {
		e.names, e.keys = nil, nil
		clear(e.nameIndexes)
		clear(e.sent)
	}
	e.sequence++
	e.stateTime = now
	m := &wire.State{Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: len(e.keys) == 0, FirstName: uint32(len(e.names)), FirstKey: uint32(len(e.sent))}
	v := flatten(h)
	for _, k := range e.selectChanges(v) {
		e.appendValue(m, k, v[k])
	}
	return m
}

// selectChanges returns the changed keys that go into the next message. The first pass limits each kind to a third
// of the message, so that no kind starves the others; the second pass fills the rest in order of urgency.
func (e *Encoder) selectChanges(v values) []key {
	changedByKind := e.changedKeys(v)
	var selected []key
	remaining := e.limitBytes
	for pass := range 2 {
		for _, kd := range kinds {
			share := remaining
			if pass == 0 {
				e.sortByPriority(kd, changedByKind[kd], v)
				share = min(remaining, e.limitBytes/3)
			}
			n, costBytes := e.countFitting(changedByKind[kd], share)
			selected = append(selected, changedByKind[kd][:n]...)
			changedByKind[kd] = changedByKind[kd][n:]
			remaining -= costBytes
		}
	}
	return selected
}

// changedKeys returns the keys whose values differ from those sent.
func (e *Encoder) changedKeys(v values) map[kind][]key {
	out := map[kind][]key{}
	for k, n := range v {
		if s, ok := e.sent[k]; !ok || s.value != n {
			out[k.kind] = append(out[k.kind], k)
		}
	}
	for k, s := range e.sent {
		// A state may omit served tokens that have not changed recently; their absence is no change to 0.
		if _, ok := v[k]; !ok && s.value != 0 && k.kind != servedKind {
			out[k.kind] = append(out[k.kind], k)
		}
	}
	return out
}

// countFitting returns how many of the first keys fit in limitBytes, and their estimated size.
func (e *Encoder) countFitting(keys []key, limitBytes int) (n, costBytes int) {
	for _, k := range keys {
		keyCost := valueCostBytes
		if _, ok := e.sent[k]; !ok {
			keyCost += keyCostBytes
			for _, name := range k.names() {
				if _, ok := e.nameIndexes[name]; !ok && name != "" {
					keyCost += nameCostBytes + len(name)
				}
			}
		}
		if costBytes+keyCost > limitBytes {
			break
		}
		n, costBytes = n+1, costBytes+keyCost
	}
	return n, costBytes
}

// sortByPriority sorts served tokens by the size of the unsent increase, largest first, and all other kinds by the
// time since the key was last sent, longest first.
func (e *Encoder) sortByPriority(kd kind, keys []key, v values) {
	slices.SortFunc(keys, func(a, b key) int {
		order := cmp.Compare(e.lastSent(a).sequence, e.lastSent(b).sequence)
		if kd == servedKind {
			order = cmp.Compare(v[b]-e.lastSent(b).value, v[a]-e.lastSent(a).value)
		}
		return cmp.Or(order, cmp.Compare(a.a, b.a), cmp.Compare(a.b, b.b), cmp.Compare(a.c, b.c))
	})
}

// lastSent returns the last value sent for k, or the zero value if there is none.
func (e *Encoder) lastSent(k key) sentValue {
	if s, ok := e.sent[k]; ok {
		return *s
	}
	return sentValue{}
}

// appendValue adds a value to m, with its key and names if receivers do not have them.
func (e *Encoder) appendValue(m *wire.State, k key, n int64) {
	s, ok := e.sent[k]
	if !ok {
		s = &sentValue{index: uint32(len(e.sent))}
		e.sent[k] = s
		numbers := []uint32{uint32(k.kind)}
		for _, name := range k.names() {
			numbers = append(numbers, e.internName(m, name))
		}
		e.keys = append(e.keys, numbers...)
		m.Keys = append(m.Keys, numbers...)
	}
	s.value, s.sequence = n, e.sequence
	m.Indexes = append(m.Indexes, s.index)
	m.Values = append(m.Values, n)
}

// internName returns the index of the name plus one, or 0 for an empty name. It adds a new name to the table and to m.
func (e *Encoder) internName(m *wire.State, name string) uint32 {
	if name == "" {
		return 0
	}
	i, ok := e.nameIndexes[name]
	if !ok {
		i = uint32(len(e.names))
		e.nameIndexes[name] = i
		e.names = append(e.names, name)
		m.Names = append(m.Names, name)
	}
	return i + 1
}

// Full returns a message with everything that was sent so far, for a receiver that missed messages. It returns nil
// before the first message.
func (e *Encoder) Full(now time.Time) *wire.State {
	if e.sequence == 0 {
		return nil
	}
	m := &wire.State{
		Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: true,
		Names: slices.Clone(e.names), Keys: slices.Clone(e.keys),
		Age: uint64(max(now.Sub(e.stateTime), 0) / time.Millisecond),
	}
	for _, s := range e.sent {
		if s.value != 0 {
			m.Indexes = append(m.Indexes, s.index)
			m.Values = append(m.Values, s.value)
		}
	}
	return m
}

// GapError reports a message that does not follow the last one received, or does not match the receiver's tables.
type GapError struct {
	Source                 string
	LastSequence, Sequence uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("cannot apply state %d of %s after state %d; request a full state", e.Sequence, e.Source, e.LastSequence)
}

// Decoder rebuilds the states of one source from the messages of its [Encoder].
type Decoder struct {
	// sequence is that of the last message; 0 means that a full state is needed.
	sequence uint64
	names    []string
	keys     []key
	values   values
}

// NewDecoder returns a Decoder. Its first message must be a full state.
func NewDecoder() *Decoder { return &Decoder{values: values{}} }

// Decode applies a message and returns the resulting state of its source. Of the served tokens the state holds only
// the totals that the message changed. Decode returns a [GapError] if a full state is needed.
func (d *Decoder) Decode(now time.Time, m *wire.State) (dispatch.HostState, error) {
	changes, err := d.apply(m)
	if err != nil {
		return dispatch.HostState{}, err
	}
	h := unflatten(d.values, changes)
	h.Host, h.Zone = m.GetSource(), m.GetZone()
	h.At = now.Add(-time.Duration(min(m.GetAge(), uint64(time.Hour/time.Millisecond))) * time.Millisecond)
	return h, nil
}

// apply updates the tables and values from m and returns the values that m holds.
func (d *Decoder) apply(m *wire.State) (values, error) {
	gap := &GapError{Source: m.GetSource(), LastSequence: d.sequence, Sequence: m.GetSequence()}
	if m.GetFull() {
		d.names, d.keys, d.values = nil, nil, values{}
	} else if d.sequence == 0 || m.GetSequence() != d.sequence+1 {
		return nil, gap
	}
	d.sequence = 0
	if !d.extendTables(m) || len(m.GetIndexes()) != len(m.GetValues()) {
		return nil, gap
	}
	changes := values{}
	for i, index := range m.GetIndexes() {
		if int(index) >= len(d.keys) {
			return nil, gap
		}
		k, n := d.keys[index], m.GetValues()[i]
		changes[k] = n
		switch {
		case k.kind == servedKind:
		case n == 0:
			delete(d.values, k)
		default:
			d.values[k] = n
		}
	}
	d.sequence = m.GetSequence()
	return changes, nil
}

// extendTables appends the names and keys of m to the tables. It reports whether they are valid and continue the
// tables without a gap.
func (d *Decoder) extendTables(m *wire.State) bool {
	if int(m.GetFirstName()) != len(d.names) || int(m.GetFirstKey()) != len(d.keys) {
		return false
	}
	if len(d.names)+len(m.GetNames()) > maxReceivedEntries || len(d.keys)+len(m.GetKeys())/numbersPerKey > maxReceivedEntries || len(m.GetKeys())%numbersPerKey != 0 {
		return false
	}
	d.names = append(d.names, m.GetNames()...)
	for numbers := range slices.Chunk(m.GetKeys(), numbersPerKey) {
		// A kind that only a newer version knows takes its place in the table; unflatten ignores its values.
		k := key{kind: kind(numbers[0])}
		for i, field := range []*string{&k.a, &k.b, &k.c} {
			n := numbers[i+1]
			if int(n) > len(d.names) {
				return false
			}
			if n > 0 {
				*field = d.names[n-1]
			}
		}
		d.keys = append(d.keys, k)
	}
	return true
}
