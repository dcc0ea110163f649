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
	// maxKeys is the length of a table of keys at which the sender starts anew.
	maxKeys = 8192
	// valueBytes is about what a changed value takes, keyBytes what a new key and nameBytes
	// what a new name takes besides its text.
	valueBytes = 5
	keyBytes   = 7
	nameBytes  = 2
	// keyNumbers are the numbers of a key: its kind and three names.
	keyNumbers = 4
	// maxTable bounds the tables that a receiver keeps.
	maxTable = 4 * maxKeys
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
	// names and keys are the tables that receivers have; index finds a name.
	names []string
	index map[string]uint32
	keys  []uint32
	known map[key]*sent
	taken time.Time
}

// NewEncoder returns an Encoder whose messages take about limit bytes at most.
func NewEncoder(source, zone string, limit int) *Encoder {
	return &Encoder{source: source, zone: zone, limit: limit, index: map[string]uint32{}, known: map[key]*sent{}}
}

// SetLimit changes the bytes of changes in one message and returns the limit before.
func (e *Encoder) SetLimit(limit int) int {
	before := e.limit
	e.limit = limit
	return before
}

// Encode returns the message that brings receivers nearer to h: of the changes those that fit, each kind
// within its share.
func (e *Encoder) Encode(now time.Time, h *dispatch.HostState) *wire.State {
	if len(e.known) >= maxKeys {
		e.names, e.keys = nil, nil
		clear(e.index)
		clear(e.known)
	}
	e.sequence++
	e.taken = now
	m := &wire.State{Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: len(e.keys) == 0, FirstName: uint32(len(e.names)), FirstKey: uint32(len(e.known))}
	v := flatten(h)
	for _, k := range e.pick(v) {
		e.add(m, k, v[k])
	}
	return m
}

// pick chooses the changed keys that go into the next message.
func (e *Encoder) pick(v values) []key {
	changed := e.changed(v)
	var out []key
	left := e.limit
	for pass := range 2 {
		for _, kd := range kinds {
			share := left
			if pass == 0 {
				e.sort(kd, changed[kd], v)
				share = min(left, e.limit/3)
			}
			n, cost := e.fit(changed[kd], share)
			out = append(out, changed[kd][:n]...)
			changed[kd] = changed[kd][n:]
			left -= cost
		}
	}
	return out
}

func (e *Encoder) changed(v values) map[kind][]key {
	out := map[kind][]key{}
	for k, n := range v {
		if s, ok := e.known[k]; !ok || s.value != n {
			out[k.kind] = append(out[k.kind], k)
		}
	}
	for k, s := range e.known {
		// Served work that has not changed of late is left out of a state and has not gone.
		if _, ok := v[k]; !ok && s.value != 0 && k.kind != served {
			out[k.kind] = append(out[k.kind], k)
		}
	}
	return out
}

// fit returns how many of the keys go into a number of bytes, and how many bytes they take.
func (e *Encoder) fit(keys []key, limit int) (n, cost int) {
	for _, k := range keys {
		c := valueBytes
		if _, ok := e.known[k]; !ok {
			c += keyBytes
			for _, name := range k.names() {
				if _, ok := e.index[name]; !ok && name != "" {
					c += nameBytes + len(name)
				}
			}
		}
		if cost+c > limit {
			break
		}
		n, cost = n+1, cost+c
	}
	return n, cost
}

// sort puts the largest untold work first, and of all else what was untold the longest.
func (e *Encoder) sort(kd kind, keys []key, v values) {
	slices.SortFunc(keys, func(a, b key) int {
		first := cmp.Compare(e.told(a).at, e.told(b).at)
		if kd == served {
			first = cmp.Compare(v[b]-e.told(b).value, v[a]-e.told(a).value)
		}
		return cmp.Or(first, cmp.Compare(a.a, b.a), cmp.Compare(a.b, b.b), cmp.Compare(a.c, b.c))
	})
}

func (e *Encoder) told(k key) sent {
	if s, ok := e.known[k]; ok {
		return *s
	}
	return sent{}
}

func (e *Encoder) add(m *wire.State, k key, n int64) {
	s, ok := e.known[k]
	if !ok {
		s = &sent{index: uint32(len(e.known))}
		e.known[k] = s
		numbers := []uint32{uint32(k.kind)}
		for _, name := range k.names() {
			numbers = append(numbers, e.name(m, name))
		}
		e.keys = append(e.keys, numbers...)
		m.Keys = append(m.Keys, numbers...)
	}
	s.value, s.at = n, e.sequence
	m.Indexes = append(m.Indexes, s.index)
	m.Values = append(m.Values, n)
}

// name returns the index of the name plus one, and zero for none.
func (e *Encoder) name(m *wire.State, name string) uint32 {
	if name == "" {
		return 0
	}
	i, ok := e.index[name]
	if !ok {
		i = uint32(len(e.names))
		e.index[name] = i
		e.names = append(e.names, name)
		m.Names = append(m.Names, name)
	}
	return i + 1
}

// Full returns all that receivers of every message know, for one that missed some; nil before the first message.
func (e *Encoder) Full(now time.Time) *wire.State {
	if e.sequence == 0 {
		return nil
	}
	m := &wire.State{
		Source: e.source, Zone: e.zone, Sequence: e.sequence, Full: true,
		Names: slices.Clone(e.names), Keys: slices.Clone(e.keys),
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
	Source                 string
	LastSequence, Sequence uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("state %d of %s came after state %d; ask for a full state", e.Sequence, e.Source, e.LastSequence)
}

// Decoder rebuilds the states of one source.
type Decoder struct {
	sequence uint64
	names    []string
	keys     []key
	values   values
}

// NewDecoder returns a Decoder that needs a full state first.
func NewDecoder() *Decoder { return &Decoder{values: values{}} }

// Decode takes a message and returns the state of its source, of whose served work only the changes. It returns
// a [GapError] if a full state is needed.
func (d *Decoder) Decode(now time.Time, m *wire.State) (dispatch.HostState, error) {
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
	gap := &GapError{Source: m.GetSource(), LastSequence: d.sequence, Sequence: m.GetSequence()}
	if m.GetFull() {
		d.names, d.keys, d.values = nil, nil, values{}
	} else if d.sequence == 0 || m.GetSequence() != d.sequence+1 {
		return nil, gap
	}
	d.sequence = 0
	if !d.extend(m) || len(m.GetIndexes()) != len(m.GetValues()) {
		return nil, gap
	}
	recent := values{}
	for i, index := range m.GetIndexes() {
		if int(index) >= len(d.keys) {
			return nil, gap
		}
		k, n := d.keys[index], m.GetValues()[i]
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

// extend adds the new names and keys to the tables, and reports whether they fit to those known.
func (d *Decoder) extend(m *wire.State) bool {
	if int(m.GetFirstName()) != len(d.names) || int(m.GetFirstKey()) != len(d.keys) {
		return false
	}
	if len(d.names)+len(m.GetNames()) > maxTable || len(d.keys)+len(m.GetKeys())/keyNumbers > maxTable || len(m.GetKeys())%keyNumbers != 0 {
		return false
	}
	d.names = append(d.names, m.GetNames()...)
	for numbers := range slices.Chunk(m.GetKeys(), keyNumbers) {
		// A kind of a newer version keeps its place in the table and is ignored later.
		k := key{kind: kind(numbers[0])}
		for i, part := range []*string{&k.a, &k.b, &k.c} {
			n := numbers[i+1]
			if int(n) > len(d.names) {
				return false
			}
			if n > 0 {
				*part = d.names[n-1]
			}
		}
		d.keys = append(d.keys, k)
	}
	return true
}
