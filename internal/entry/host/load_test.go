package host

import (
	"net/http"
	"strings"
	"testing"
	"time"

	enginefake "shallotramp/internal/engine/fake"
)

// TestLeavingServerGetsNoNewWork sends requests to a host in front of two engines, one of which announces that it is
// leaving. That engine must get no further requests.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	engines := map[string]*enginefake.Engine{}
	for _, name := range []string{"engine-1", "engine-2"} {
		engines[name] = enginefake.NewEngine(enginefake.Config{Name: name, Models: []string{"m"}, Slots: 8, TokenInterval: time.Millisecond})
	}
	h, stop, done := startHostWithEngines(t, Config{DrainTimeout: time.Second}, engines)
	defer func() {
		stop()
		<-done
	}()
	// send sends n requests and returns how many each engine got.
	send := func(n int) map[string]int {
		counts := map[string]int{}
		for name, e := range engines {
			counts[name] = len(e.TokenCounts())
		}
		for range n {
			res, err := http.Post(h.CallersURL()+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"tokens=2"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
		}
		for name, e := range engines {
			counts[name] = len(e.TokenCounts()) - counts[name]
		}
		return counts
	}
	if got := send(40); got["engine-1"] == 0 || got["engine-2"] == 0 {
		t.Errorf("before the notice the engines got %v requests", got)
	}
	engines["engine-1"].SetFaults(enginefake.Faults{Leaving: true})
	eventually(t, "the host knows of the notice", func() bool { return send(30)["engine-1"] == 0 })
	if got := send(40); got["engine-1"] != 0 {
		t.Errorf("after the notice the engines got %v requests", got)
	}
}
