package route_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/traffic/route"
)

func table() *route.Table {
	org := &route.Organisation{Name: "org"}
	return route.New(3, []*route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: route.Stream, Resumable: true},
		{Name: "chat-new", Host: "a.example", Prefix: "/chat/new/"},
		{Name: "other", Host: "b.example", Prefix: "/chat/"},
	}, []*route.Service{{Name: "pool"}}, route.Limits{}, true, map[string]*route.Organisation{"k1": org, "k2": org})
}

func TestMatch(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"the longest prefix of the host":    {"a.example", "/chat/new/1", "chat-new"},
		"a shorter prefix":                  {"a.example", "/chat/old", "chat"},
		"a prefix without its slash":        {"a.example", "/chat", "all"},
		"another host's prefix is not used": {"b.example", "/chat/new/1", "other"},
		"a host name in capitals":           {"A.Example", "/chat/x", "chat"},
		"a host name with a port":           {"a.example:8740", "/chat/x", "chat"},
		"a path without a matching prefix":  {"b.example", "/book/", ""},
		"an unknown host":                   {"c.example", "/chat/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table().Match(test.host, test.path); r != nil {
				got = r.Name
			}
			if got != test.want {
				t.Fatalf("route %q, want %q", got, test.want)
			}
		})
	}
}

func TestOrganisation(t *testing.T) {
	convey.Convey("A key is found only by an exact match", t, func() {
		convey.So(table().Organisation("k1").Name, convey.ShouldEqual, "org")
		for _, key := range []string{"", "k", "k11", "K1"} {
			convey.So(table().Organisation(key), convey.ShouldBeNil)
		}
	})
}

func TestPick(t *testing.T) {
	r := route.Route{Targets: []route.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	n := map[string]int{}
	for key := range uint64(1000) {
		n[r.Pick(key)]++
		if first, again := r.Pick(key), r.Pick(key); first != again {
			t.Fatalf("Pick(%d) returns %s, then %s", key, first, again)
		}
	}
	if n["old"] != 900 || n["new"] != 100 {
		t.Fatalf("services have shares %v, want 900 and 100", n)
	}
	none := route.Route{}
	if got := none.Pick(5); got != "" {
		t.Fatalf("Pick on a route without targets returns %q, want none", got)
	}
}

func ExampleTable_Match() {
	fmt.Println(table().Match("a.example", "/chat/1").Name)
	// Output: chat
}

func BenchmarkMatch(b *testing.B) {
	var routes []*route.Route
	for i := range 2000 {
		routes = append(routes, &route.Route{Host: fmt.Sprintf("h%d.example", i%200), Prefix: fmt.Sprintf("/p%d/", i)})
	}
	t := route.New(1, routes, nil, route.Limits{}, false, nil)
	for b.Loop() {
		if t.Match("h7.example", "/p7/x") == nil {
			b.Fatal("Match found no route")
		}
	}
}

func TestTier(t *testing.T) {
	first, second, none := &route.Organisation{Name: "a", HasPriority: true}, &route.Organisation{Name: "b", Priority: 1, HasPriority: true}, &route.Organisation{Name: "c"}
	chat := &route.Route{Name: "chat", HasPromptParts: true}
	brief := &route.Route{Name: "brief", HasPromptParts: true, Priority: 1}
	book := &route.Route{Name: "book", Priority: 2}
	table := route.New(1, []*route.Route{chat, brief, book}, nil, route.Limits{}, true,
		map[string]*route.Organisation{"k1": first, "k2": second, "k3": none})
	order := []struct {
		name string
		r    *route.Route
		o    *route.Organisation
	}{
		{"the first organisation's chat", chat, first},
		{"its brief", brief, first},
		{"the second organisation's chat", chat, second},
		{"its brief", brief, second},
	}
	for i, x := range order {
		if got := table.Tier(x.r, x.o); got != i {
			t.Errorf("%s has tier %d, want %d", x.name, got, i)
		}
	}
	if got, want := table.Tier(chat, none), table.Tier(chat, first); got != want {
		t.Errorf("chat of an organisation without a priority has tier %d, want the route's, %d", got, want)
	}
	if table.TierCount() != 4 {
		t.Errorf("TierCount returns %d, want 4: tiers of routes without prompt parts are counted separately", table.TierCount())
	}
}
