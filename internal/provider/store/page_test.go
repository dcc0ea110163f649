package store_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"shallotramp/internal/provider/store"
)

// TestSplitPage guards against one object that nobody can read and that hides the others of its page.
func TestSplitPage(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	tests := map[string]struct {
		in, rest string
		elements []string
		fails    bool
	}{
		"a page":                           {`{"items":[{"a":1},{"b":"]"}],"at":7}`, `{"items":[],"at":7}`, []string{`{"a":1}`, `{"b":"]"}`}, false},
		"spaces and other fields first":    {" {\n\"at\" : 7 , \"x\":{\"items\":[1]}, \"items\" : [ 1 , \"\\\"\" ] }", " {\n\"at\" : 7 , \"x\":{\"items\":[1]}, \"items\" : [] }", []string{"1", `"\""`}, false},
		"an element of arrays":             {`{"items":[1,` + deep + `,2]}`, `{"items":[]}`, []string{"1", deep, "2"}, false},
		"an element with a huge number":    {`{"items":[{"n":1e999}]}`, `{"items":[]}`, []string{`{"n":1e999}`}, false},
		"no elements":                      {`{"items":[]}`, `{"items":[]}`, nil, false},
		"no such field":                    {`{"at":7}`, `{"at":7}`, nil, false},
		"a field that is no array":         {`{"items":null,"at":7}`, `{"items":null,"at":7}`, nil, false},
		"a page that ends early":           {`{"items":[1,2`, "", nil, true},
		"a page that ends inside a string": {`{"items":["a`, "", nil, true},
		"a page that ends after a key":     {`{"items"`, "", nil, true},
		"an array":                         {`[1]`, "", nil, true},
		"nothing":                          {"", "", nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			elements, rest, err := store.SplitPage([]byte(test.in), "items")
			if (err != nil) != test.fails {
				t.Fatalf("error %v", err)
			}
			if string(rest) != test.rest || len(elements) != len(test.elements) {
				t.Fatalf("%d elements, rest %q; want %d and %q", len(elements), rest, len(test.elements), test.rest)
			}
			for i, e := range elements {
				if string(e) != test.elements[i] {
					t.Errorf("element %d is %.99q, want %.99q", i, e, test.elements[i])
				}
			}
		})
	}
}

func TestCheckReadable(t *testing.T) {
	tests := map[string]struct {
		in       string
		readable bool
	}{
		"an object":              {`{"a":[{"b":"\"[["}]}`, true},
		"many siblings":          {"[" + strings.Repeat("[],", 5000) + "[]]", true},
		"brackets in a string":   {`{"a":"` + strings.Repeat("[", 5000) + `"}`, true},
		"a hundred levels":       {strings.Repeat("[", 100) + strings.Repeat("]", 100), true},
		"one level more":         {strings.Repeat("[", 101) + strings.Repeat("]", 101), false},
		"bytes that are no text": {"{\"a\":\"\xff\"}", false},
	}
	for name, test := range tests {
		if err := store.CheckReadable([]byte(test.in)); (err == nil) != test.readable {
			t.Errorf("%s: error %v, want readable %t", name, err, test.readable)
		}
	}
}

// FuzzSplitPage compares pages that the standard library can read with what it reads.
func FuzzSplitPage(f *testing.F) {
	for _, seed := range []string{
		`{"items":[{"a":1},"]",[[]]],"at":7}`, `{"at":{"items":[1]},"items":[]}`, `{"items":null}`, `{"items":[1`, `{"\"":[],"items":[ 1 , 2 ]}`, `{}`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		elements, rest, err := store.SplitPage(raw, "items")
		var fields map[string]json.RawMessage
		if !json.Valid(raw) || json.Unmarshal(raw, &fields) != nil || bytes.Count(raw, []byte("items")) > 1 || bytes.Contains(raw, []byte("\\u")) {
			return // SplitPage need only end, and it reads the first of several fields.
		}
		if fields == nil {
			return // A page that is null.
		}
		if err != nil {
			t.Fatalf("%q: %v", raw, err)
		}
		var want []json.RawMessage
		if json.Unmarshal(fields["items"], &want) != nil {
			want = nil
		}
		if len(elements) != len(want) || !json.Valid(rest) {
			t.Fatalf("%q: %d elements and the rest %q, want %d", raw, len(elements), rest, len(want))
		}
		for i := range want {
			if !bytes.Equal(elements[i], want[i]) {
				t.Fatalf("%q: element %d is %q, want %q", raw, i, elements[i], want[i])
			}
		}
	})
}
