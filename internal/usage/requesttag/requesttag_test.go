package requesttag_test

import (
	"fmt"
	"testing"

	"shallotramp/internal/usage/requesttag"
)

func ExampleTag() {
	t := requesttag.Tag{Incarnation: "0f3a", Organisation: requesttag.HashOrganisation("leicester-retail"), Number: 42}
	parsed, err := requesttag.Parse(t.String())
	fmt.Println(parsed == t, err)
	// Output: true <nil>
}

func TestParseRefuses(t *testing.T) {
	for name, s := range map[string]string{
		"a random request id":  "0190a6f2-7b1c-7cc0-9d7e-0242ac120002",
		"no incarnation":       "-0000000000000001-1",
		"a short organisation": "0f3a-01-1",
		"number zero":          "0f3a-0000000000000001-0",
		"invalid number":       "0f3a-0000000000000001-x",
		"invalid hexadecimal digit in the organisation": "0f3a-000000000000000g-1",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := requesttag.Parse(s); err == nil {
				t.Fatalf("%q was parsed without an error", s)
			}
		})
	}
}
