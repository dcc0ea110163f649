package object_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
)

// valid is a small set without findings.
var valid = strings.Join([]string{
	`{Kind: Organisation, Name: o, Limit: l}`,
	`{Kind: Limit, Name: l, Streams: 3}`,
	`{Kind: Key, Name: k, Organisation: o, Digest: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855, Classes: [c]}`,
	`{Kind: Class, Name: c, Tier: 1, FirstToken: 790ms}`,
	`{Kind: Route, Name: r, Model: m, Pool: p, Classes: [c], Idempotent: true}`,
	`{Kind: Pool, Name: p, Protocol: Engine, Models: [m], Concurrency: 8}`,
	`{Kind: BackendServer, Name: b, Pool: p, Zone: z, Address: "10.0.0.1:8000"}`,
}, "\n---\n")

func read(t testing.TB, text string) *object.Set {
	t.Helper()
	s := object.NewSet()
	if errs := object.Read(s, "test", strings.NewReader(text)); len(errs) > 0 {
		t.Fatal(errs)
	}
	return s
}

func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		// change replaces text of the valid set; add is appended as a document.
		old, new, add string
		kind          object.Kind
		name, field   string
	}{
		"a missing organisation":                  {"Organisation: o,", "Organisation: x,", "", object.Key, "k", "Organisation"},
		"a missing limit":                         {"Limit: l}", "Limit: x}", "", object.Organisation, "o", "Limit"},
		"a missing pool of a route":               {"Pool: p, Classes", "Pool: x, Classes", "", object.Route, "r", "Pool"},
		"a missing pool of a server":              {"Pool: p, Zone", "Pool: x, Zone", "", object.BackendServer, "b", "Pool"},
		"a missing class of a route":              {"Classes: [c], Idem", "Classes: [x], Idem", "", object.Route, "r", "Classes"},
		"a class named twice":                     {"Classes: [c], Idem", "Classes: [c, c], Idem", "", object.Route, "r", "Classes"},
		"a key that would leave its organisation": {"", "", `{Kind: Key, Name: k2, Organisation: o, Digest: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}`, object.Key, "k2", "Digest"},
		"a digest that is none":                   {"Digest: e3b0", "Digest: xxxx", "", object.Key, "k", "Digest"},
		"an unreachable route":                    {"", "", `{Kind: Route, Name: r2, Model: m, Pool: p, Classes: [c]}`, object.Route, "r2", "Model"},
		"a model that the pool does not list":     {"Model: m, Pool", "Model: n, Pool", "", object.Route, "r", "Model"},
		"a route that hides the model API":        {"Model: m, Pool", "Path: /v1/, Pool", "", object.Route, "r", "Path"},
		"a route with neither model nor path":     {"Model: m, Pool", "Pool", "", object.Route, "r", "Model"},
		"two classes on a tier":                   {"", "", `{Kind: Class, Name: c2, Tier: 1}`, object.Class, "c2", "Tier"},
		"an impossible target":                    {"FirstToken: 790ms", "FirstToken: 9s, Deadline: 1s", "", object.Class, "c", "FirstToken"},
		"floors above one":                        {"Tier: 1,", "Tier: 1, Floor: 0.7,", `{Kind: Class, Name: c2, Tier: 2, Floor: 0.7}`, object.Class, "c", "Floor"},
		"a tier of zero":                          {"Tier: 1,", "Tier: 0,", "", object.Class, "c", "Tier"},
		"retries of non-idempotent work":          {"Idempotent: true", "Retry: {Attempts: 3}", "", object.Route, "r", "Retry"},
		"a pool without a protocol":               {"Protocol: Engine, ", "", "", object.Pool, "p", "Protocol"},
		"two servers at one address":              {"", "", `{Kind: BackendServer, Name: b2, Pool: p, Zone: z, Address: "10.0.0.1:8000"}`, object.BackendServer, "b2", "Address"},
		"an open route with organisations":        {"Idempotent: true", "Open: true, Organisations: [o]", "", object.Route, "r", "Open"},
		"a negative limit":                        {"Streams: 3", "Streams: -3", "", object.Limit, "l", "RequestsPerSecond"},
	} {
		t.Run(name, func(t *testing.T) {
			text := valid
			if tc.old != "" {
				if !strings.Contains(text, tc.old) {
					t.Fatalf("%q is not in the valid set", tc.old)
				}
				text = strings.Replace(text, tc.old, tc.new, 1)
			}
			if tc.add != "" {
				text += "\n---\n" + tc.add
			}
			found := read(t, text).Check()
			if !object.Refused(found) {
				t.Fatalf("not refused: %v", found)
			}
			// Objects are checked in no order: for two at the same address either may be named.
			for _, f := range found {
				if f.Kind == tc.kind && f.Field == tc.field && (f.Name == tc.name || f.Name+"2" == tc.name) {
					if f.Remedy == "" || f.Problem == "" {
						t.Errorf("no problem or remedy: %+v", f)
					}
					return
				}
			}
			t.Errorf("no finding on %s %s %s in %v", tc.kind, tc.name, tc.field, found)
		})
	}
}

func TestCheckReportsAllFindingsAtOnce(t *testing.T) {
	text := strings.NewReplacer("Limit: l}", "Limit: x}", "Pool: p, Zone", "Pool: x, Zone", "Tier: 1", "Tier: 0").Replace(valid)
	// The pool that the server leaves behind is a warning beside the three refusals.
	if found := read(t, text).Check(); len(found) != 4 {
		t.Errorf("got %d findings, want 4: %v", len(found), found)
	}
	if found := read(t, valid).Check(); len(found) != 0 {
		t.Errorf("the valid set has findings: %v", found)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"../../../examples/threadwell.yaml", "../../../examples/zhaiyk.yaml", "../../trial/demo/objects.yaml"} {
		f, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		s := object.NewSet()
		if errs := object.Read(s, file, f); len(errs) > 0 {
			t.Error(errs)
		}
		_ = f.Close()
	}
}

func TestReadReportsEachProblem(t *testing.T) {
	s := object.NewSet()
	errs := object.Read(s, "f.yaml", strings.NewReader(`
{Kind: Organisation, Name: good}
---
{Kind: Nothing, Name: x}
---
{Kind: Organisation}
---
{Kind: Organisation, Name: good}
---
{Kind: Class, Name: c, Teir: 1}
---
{Kind: Class, Name: d, Deadline: soon}
---
[1, 2]
---
{Kind: Organisation, Name: after}
`))
	if len(errs) != 6 {
		t.Fatalf("got %d errors: %v", len(errs), errs)
	}
	for _, e := range errs {
		if !strings.Contains(e.Error(), "f.yaml, document") {
			t.Errorf("no place in %q", e)
		}
	}
	if s.Organisations["good"] == nil || s.Organisations["after"] == nil {
		t.Error("good documents were lost")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(valid)
	f.Add("{Kind: Class, Name: c, Tier: 1e99}")
	f.Add("&a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		s := object.NewSet()
		if len(object.Read(s, "fuzz", strings.NewReader(text))) > 0 {
			return
		}
		_ = s.Check()
		// What was read is written and read back unchanged.
		var buf bytes.Buffer
		for _, d := range s.Documents() {
			b, err := json.Marshal(d)
			if err != nil {
				t.Skip("times outside the range of JSON")
			}
			buf.WriteString("---\n")
			buf.Write(b)
			buf.WriteByte('\n')
		}
		again := object.NewSet()
		if errs := object.Read(again, "again", &buf); len(errs) > 0 {
			t.Fatal(errs)
		}
		if a, b := fmt.Sprint(len(s.Documents())), fmt.Sprint(len(again.Documents())); a != b {
			t.Fatalf("%s objects became %s", a, b)
		}
	})
}

func ExampleSet_Check() {
	s := object.NewSet()
	_ = object.Read(s, "example", strings.NewReader("{Kind: Organisation, Name: o, Limit: large}"))
	for _, f := range s.Check() {
		fmt.Println(f.Error())
	}
	// Output: Organisation "o", field Limit: refers to Limit "large", which does not exist; add the Limit or correct the name
}

func ExampleDuration_Or() {
	var d object.Duration
	fmt.Println(d.Or(time.Second))
	// Output: 1s
}
