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

// valid is a small configuration for which Check has no findings.
var valid = strings.Join([]string{
	`{Kind: Organisation, Name: o, Limit: l}`,
	`{Kind: Limit, Name: l, Streams: 3}`,
	`{Kind: Key, Name: k, Organisation: o, Digest: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855, Classes: [c]}`,
	`{Kind: Class, Name: c, Tier: 1, FirstToken: 790ms}`,
	`{Kind: Route, Name: r, Model: m, Pool: p, Classes: [c], Idempotent: true}`,
	`{Kind: Pool, Name: p, Protocol: Engine, Models: [m], Concurrency: 8}`,
	`{Kind: BackendServer, Name: b, Pool: p, Zone: z, Address: "10.0.0.1:8000"}`,
}, "\n---\n")

func mustRead(t testing.TB, text string) *object.Set {
	t.Helper()
	s := object.NewSet()
	if errs := object.Read(s, "test", strings.NewReader(text)); len(errs) > 0 {
		t.Fatal(errs)
	}
	return s
}

func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		// old is replaced by new in the valid set; add is appended as another document.
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
		"two keys with the same digest":           {"", "", `{Kind: Key, Name: k2, Organisation: o, Digest: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}`, object.Key, "k2", "Digest"},
		"an invalid digest":                       {"Digest: e3b0", "Digest: xxxx", "", object.Key, "k", "Digest"},
		"two routes for the same model":           {"", "", `{Kind: Route, Name: r2, Model: m, Pool: p, Classes: [c]}`, object.Route, "r2", "Model"},
		"a model that the pool does not list":     {"Model: m, Pool", "Model: n, Pool", "", object.Route, "r", "Model"},
		"a path under the model API":              {"Model: m, Pool", "Path: /v1/, Pool", "", object.Route, "r", "Path"},
		"a route with neither model nor path":     {"Model: m, Pool", "Pool", "", object.Route, "r", "Model"},
		"two classes on a tier":                   {"", "", `{Kind: Class, Name: c2, Tier: 1}`, object.Class, "c2", "Tier"},
		"a first-token target after the deadline": {"FirstToken: 790ms", "FirstToken: 9s, Deadline: 1s", "", object.Class, "c", "FirstToken"},
		"floors that add up to more than one":     {"Tier: 1,", "Tier: 1, Floor: 0.7,", `{Kind: Class, Name: c2, Tier: 2, Floor: 0.7}`, object.Class, "c", "Floor"},
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
			findings := mustRead(t, text).Check()
			if !object.Refused(findings) {
				t.Fatalf("no finding prevents publication: %v", findings)
			}
			// Objects are checked in random order, so the finding may name either of two conflicting objects.
			for _, f := range findings {
				if f.Kind == tc.kind && f.Field == tc.field && (f.Name == tc.name || f.Name+"2" == tc.name) {
					if f.Remedy == "" || f.Problem == "" {
						t.Errorf("the finding has no problem or no remedy: %+v", f)
					}
					return
				}
			}
			t.Errorf("no finding on %s %s %s in %v", tc.kind, tc.name, tc.field, findings)
		})
	}
}

func TestCheckReportsAllFindingsAtOnce(t *testing.T) {
	text := strings.NewReplacer("Limit: l}", "Limit: x}", "Pool: p, Zone", "Pool: x, Zone", "Tier: 1", "Tier: 0").Replace(valid)
	// Besides the three refusals there is a warning, as the changed pool name leaves pool p without servers.
	if findings := mustRead(t, text).Check(); len(findings) != 4 {
		t.Errorf("got %d findings, want 4: %v", len(findings), findings)
	}
	if findings := mustRead(t, valid).Check(); len(findings) != 0 {
		t.Errorf("the valid set has findings: %v", findings)
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
			t.Errorf("the error does not name the file and document: %q", e)
		}
	}
	if s.Organisations["good"] == nil || s.Organisations["after"] == nil {
		t.Error("valid documents were not added")
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
		// The objects are written out and read again; their number must stay the same.
		var buf bytes.Buffer
		for _, d := range s.Documents() {
			b, err := json.Marshal(d)
			if err != nil {
				t.Skip("the set has a time that JSON cannot represent")
			}
			buf.WriteString("---\n")
			buf.Write(b)
			buf.WriteByte('\n')
		}
		reread := object.NewSet()
		if errs := object.Read(reread, "again", &buf); len(errs) > 0 {
			t.Fatal(errs)
		}
		if a, b := fmt.Sprint(len(s.Documents())), fmt.Sprint(len(reread.Documents())); a != b {
			t.Fatalf("%s objects were written, %s were read", a, b)
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
