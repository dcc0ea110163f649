package object

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	utilyaml "go.yaml.in/yaml/v3"
	"sigs.k8s.io/yaml"
)

// MaxFileBytes is the largest size of one file of objects.
const MaxFileBytes = 64 << 20

// ReadError is a failure to read a file of objects, with the document and object at fault.
type ReadError struct {
	File     string
	Document int
	Object   string
	Cause    string
}

func (e *ReadError) Error() string {
	location := fmt.Sprintf("%s, document %d", e.File, e.Document)
	if e.Object != "" {
		location += " (" + e.Object + ")"
	}
	return fmt.Sprintf("%s: %s; correct the file and run check again", location, e.Cause)
}

// header holds the fields that all objects have.
type header struct {
	Kind string
	Name string
}

// Read adds the YAML or JSON documents of r to s. It returns all errors; the valid
// documents are added to s even if others have errors.
func Read(s *Set, file string, r io.Reader) []error {
	b, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return []error{&ReadError{File: file, Cause: err.Error()}}
	}
	if len(b) > MaxFileBytes {
		return []error{&ReadError{File: file, Cause: fmt.Sprintf("larger than %d bytes", MaxFileBytes)}}
	}
	var errs []error
	dec := utilyaml.NewDecoder(bufio.NewReader(bytes.NewReader(b)))
	for n := 1; ; n++ {
		var doc any
		err := dec.Decode(&doc)
		if err == io.EOF {
			return errs
		}
		if err != nil {
			return append(errs, &ReadError{File: file, Document: n, Cause: err.Error()})
		}
		if doc == nil {
			continue
		}
		text, err := utilyaml.Marshal(doc)
		if err == nil {
			text, err = yaml.YAMLToJSONStrict(text)
		}
		if err != nil {
			errs = append(errs, &ReadError{File: file, Document: n, Cause: err.Error()})
			continue
		}
		if err := s.AddJSON(file, n, text); err != nil {
			errs = append(errs, err)
		}
	}
}

// AddJSON adds one object, document n of a file, to s. It returns a [ReadError] and adds nothing when
// the object cannot be decoded or its name is already in use.
func (s *Set) AddJSON(file string, n int, text []byte) error {
	var h header
	if err := json.Unmarshal(text, &h); err != nil {
		return &ReadError{File: file, Document: n, Cause: err.Error()}
	}
	fail := func(cause string) error {
		return &ReadError{File: file, Document: n, Object: h.Kind + " " + h.Name, Cause: cause}
	}
	if h.Name == "" {
		return fail("Name is missing")
	}
	text, err := removeKind(text, h.Kind)
	if err != nil {
		return fail(err.Error())
	}
	var dup bool
	switch parseKind(h.Kind) {
	case Organisation:
		dup, err = add(s.Organisations, h.Name, text)
	case Key:
		dup, err = add(s.Keys, h.Name, text)
	case Class:
		dup, err = add(s.Classes, h.Name, text)
	case Route:
		dup, err = add(s.Routes, h.Name, text)
	case Pool:
		dup, err = add(s.Pools, h.Name, text)
	case BackendServer:
		dup, err = add(s.BackendServers, h.Name, text)
	case Limit:
		dup, err = add(s.Limits, h.Name, text)
	default:
		return fail("unknown Kind; use Organisation, Key, Class, Route, Pool, BackendServer or Limit")
	}
	if err != nil {
		return fail(err.Error())
	}
	if dup {
		return fail("another object of this kind has the same name; rename or remove one")
	}
	return nil
}

func add[T any](m map[string]*T, name string, text []byte) (dup bool, err error) {
	v := new(T)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return false, err
	}
	if _, ok := m[name]; ok {
		return true, nil
	}
	m[name] = v
	return false, nil
}

// removeKind returns the object text without its field Kind, which the specs do not have.
func removeKind(text []byte, kind string) ([]byte, error) {
	// [Document.MarshalJSON] writes the kind first.
	if rest, ok := bytes.CutPrefix(text, fmt.Appendf(nil, "{%q:%q,", "Kind", kind)); ok {
		return append([]byte("{"), rest...), nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	delete(fields, "Kind")
	return json.Marshal(fields)
}

func parseKind(s string) Kind {
	for k := Organisation; k <= Limit; k++ {
		if k.String() == s {
			return k
		}
	}
	return KindUnknown
}

// MarshalText writes the name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// MarshalText writes the name of p.
func (p Protocol) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name of a protocol.
func (p *Protocol) UnmarshalText(b []byte) error {
	for v := Engine; v <= Service; v++ {
		if v.String() == string(b) {
			*p = v
			return nil
		}
	}
	return fmt.Errorf("unknown Protocol %q; use Engine or Service", b)
}

// Document is one object with its kind, in its serialised form.
type Document struct {
	Kind Kind
	Name string
	Spec any
}

// MarshalJSON writes the kind, followed by the fields of the spec.
func (d Document) MarshalJSON() ([]byte, error) {
	b, err := json.Marshal(d.Spec)
	if err != nil {
		return nil, err
	}
	return append([]byte(fmt.Sprintf("{%q:%q,", "Kind", d.Kind)), b[1:]...), nil
}

// Documents returns the objects of s, ordered by kind and name.
func (s *Set) Documents() []Document {
	var out []Document
	out = appendDocuments(out, Organisation, s.Organisations)
	out = appendDocuments(out, Key, s.Keys)
	out = appendDocuments(out, Class, s.Classes)
	out = appendDocuments(out, Route, s.Routes)
	out = appendDocuments(out, Pool, s.Pools)
	out = appendDocuments(out, BackendServer, s.BackendServers)
	return appendDocuments(out, Limit, s.Limits)
}

func appendDocuments[T any](out []Document, k Kind, m map[string]*T) []Document {
	names := slices.Sorted(maps.Keys(m))
	for _, n := range names {
		out = append(out, Document{Kind: k, Name: n, Spec: m[n]})
	}
	return out
}
