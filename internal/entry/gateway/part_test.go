package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

// TestMessageParts guards against conversations whose common messages are not recognised, because the messages around
// them differ or there are many.
func TestMessageParts(t *testing.T) {
	message := func(role, text string) string { return fmt.Sprintf(`{"role":%q,"content":%q}`, role, text) }
	parts := func(messages ...string) []uint64 {
		var ids []uint64
		for _, p := range messageParts(gjson.Parse(`{"messages":[` + strings.Join(messages, ",") + `]}`)) {
			ids = append(ids, p.ID)
		}
		return ids
	}
	system, document := message("system", "be kind"), message("user", "a document")
	first := parts(system, document, message("user", "first question"))
	second := parts(message("system", "be brief"), document, message("user", "second question"))
	if len(first) != 3 || len(second) != 3 || first[1] != second[1] || first[0] == second[0] || first[2] == second[2] {
		t.Errorf("parts %x and %x, want only the second in common", first, second)
	}
	var long []string
	for i := range 100 {
		long = append(long, message("user", fmt.Sprint(i)))
	}
	if ids := parts(long...); len(ids) != maxMessageParts || ids[0] != parts(long[0])[0] || ids[len(ids)-1] != parts(long[99])[0] {
		t.Errorf("%d parts of 100 messages, want %d with the first and the last", len(ids), maxMessageParts)
	}
	if ids := parts(); len(ids) != 0 {
		t.Errorf("%d parts of no message", len(ids))
	}
}
