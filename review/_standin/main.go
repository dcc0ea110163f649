// Command standin plays the review's cases: it starts edges with the command of the deploy file as processes, beside
// stand-ins of the store, the duties' interface, the runners and the clients, brings about one disruption, and judges what
// the clients, the runners and the platform saw.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	held = iota
	broken
	couldNotRun
)

// recorder keeps what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	answers []answer
	runs    []run
	notes   []string
}

func (r *recorder) answered(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (r *recorder) ran(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	r.notes = append(r.notes, fmt.Sprintf("%8.3f run %s on %s after event %d", time.Since(r.start).Seconds(), x.attempt, x.runner, x.after))
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// write writes everything to the file at path.
func (r *recorder) write(path, result string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, n := range r.notes {
		b.WriteString(n + "\n")
	}
	for _, a := range r.answers {
		fmt.Fprintf(&b, "%8.3f sent %s %s to %s: status %d kept %t sealed %t %d bytes, %d ms %s\n", a.sentAt.Sub(r.start).Seconds(), a.attempt, a.route, a.edge,
			a.status, a.kept, a.sealed, len(a.body), a.took.Milliseconds(), a.err)
	}
	b.WriteString(result + "\n")
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// edge is a process of the system.
type edge struct {
	name, ip, zone, settings string
	frontPort, readyPort     int
	// fleetPort is the first internal port, and seeds are the addresses of machines that the settings name.
	fleetPort int
	seeds     []string
	// storeAddr and dutiesAddr are the platform's addresses for this machine.
	storeAddr, dutiesAddr string
	// link can be cut; nil if the case has no links.
	link   *cutState
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

func (e *edge) front() string { return fmt.Sprintf("%s:%d", e.ip, e.frontPort) }

// world is a small deployment.
type world struct {
	root, dir, net string
	rec            *recorder
	store          *store
	runners        []*runner
	edges          []*edge
	storeAddr      string
	dutiesAddr     string
	ports          [3]int
	site           site
	duties         *duties
	// cuttable is set if each edge is to have links that can be cut.
	cuttable bool
}

// freeNet returns the first two bytes of loopback addresses on which the ports that the system chooses are free.
func freeNet() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		l, err := net.Listen("tcp4", n+".1.1:9464")
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return "", fmt.Errorf("no loopback address with a free port 9464")
}

func newWorld(root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, rec: &recorder{start: time.Now()}, store: newStore()}
	w.duties = &duties{rec: w.rec, reports: map[int64]report{}}
	if w.net, err = freeNet(); err != nil {
		return nil, err
	}
	for i := range w.ports {
		w.ports[i] = 20000 + rand.IntN(8000) + 8000*i
	}
	if w.storeAddr, err = serve(w.net+".0.1:0", w.store); err != nil {
		return nil, err
	}
	w.dutiesAddr, err = serve(w.net+".0.2:0", w.duties)
	return w, err
}

// serve serves h at addr and returns the address.
func serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }() // It ends with the process.
	return l.Addr().String(), nil
}

// addRunners starts n runners of a service, spread over the zones.
func (w *world) addRunners(service string, n, slots, queue int) error {
	for range n {
		i := len(w.runners)
		x, err := startRunner(fmt.Sprintf("i-%04x", 0x7f3a+i), service, w.site.zones[i%len(w.site.zones)], fmt.Sprintf("%s.%d.1", w.net, 10+i), slots, queue, w.rec)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, x)
		go func() {
			for {
				x.beat(w.store)
				time.Sleep(heartbeat)
			}
		}()
	}
	return nil
}

// configure writes the configuration.
func (w *world) configure() {
	var rs []any
	for _, rt := range w.site.routes {
		attempts := 1
		if rt.kind == "safe" || rt.resumable {
			attempts = 2
		}
		rs = append(rs, map[string]any{
			"name": "r-" + rt.name, "host": siteHost, "pathPrefix": "/" + rt.name + "/", "routeKind": rt.kind, "timeoutMs": rt.timeoutMs,
			"goalMs": rt.goalMs, "priority": 1, "service": w.site.service(rt), "maxAttempts": attempts, "anonymous": false,
			"sticky": rt.kind == "streaming", "resumable": rt.resumable, "gapTargetMs": 250,
		})
	}
	w.store.put("config", "main", map[string]any{
		"version": 7, "routes": rs,
		"services": []any{
			map[string]any{"name": w.site.model, "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{"slots": engineSlots, "kvCapacity": w.site.kvCapacity}},
			map[string]any{"name": w.site.plain, "healthPath": "/healthz", "maxConns": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// startEdges starts the edges and waits until all are ready.
func (w *world) startEdges() error {
	var seeds []string
	for i := range w.site.zones[:3] {
		seeds = append(seeds, fmt.Sprintf("%s.%d.1:%d", w.net, i+1, w.ports[0]+1))
	}
	for i, z := range w.site.zones {
		for k := 1; k <= w.site.edgesPerZone[i]; k++ {
			name := fmt.Sprintf("edge-%s-%d", z, k)
			e := &edge{
				name: name, ip: fmt.Sprintf("%s.%d.%d", w.net, i+1, k), zone: z, frontPort: w.ports[0], readyPort: w.ports[1],
				settings: filepath.Join(w.dir, name+".yaml"), fleetPort: w.ports[2], seeds: seeds, storeAddr: w.storeAddr, dutiesAddr: w.dutiesAddr,
			}
			w.edges = append(w.edges, e)
		}
	}
	if w.cuttable {
		if err := w.addLinks(); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := os.WriteFile(e.settings, []byte(w.settings(e, true)), 0o600); err != nil {
			return err
		}
		if err := w.startEdge(e); err != nil {
			return err
		}
	}
	for range 200 {
		if w.ready() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the edges are not ready 10 s after their start")
}

func (w *world) ready() bool {
	for _, e := range w.edges {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, e.readyPort))
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// startEdge starts a process with the command of the deploy file.
func (w *world) startEdge(e *edge) error {
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/shallotramp", "edge")
	cmd.Dir = w.root
	cmd.Env = []string{"SHALLOTRAMP_CONFIG=" + e.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // It is ended by a signal.
		close(exited)
	}()
	e.cmd, e.exited, e.log = cmd, exited, log
	return nil
}

// kill ends the process of an edge that this program started.
func (e *edge) kill() {
	_ = e.cmd.Process.Signal(syscall.SIGKILL) // It may have ended already.
	<-e.exited
	_ = e.log.Close()
}

// settings returns the settings file of an edge; first is set if the whole system starts for the first time.
func (w *world) settings(e *edge, first bool) string {
	quote := func(v any) string {
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err) // The values are strings and lists of them.
		}
		return string(raw)
	}
	return fmt.Sprintf(`nodeName: %s
role: "edge"
machineClass: "edge"
serves: ["edge", "control_plane"]
ip: %s
zone: %s
region: "r"
listen: {front: "%s:%d", ready: "%s:%d", control: "%s:%d"}
internalPorts: [%d, %d]
seeds: %s
bootstrap: %t
inTolerance: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 54,
  fencingRequired: true, leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageOff: 0.05, usageLateS: 10, recoverS: 12, iterationMs: 120,
  cacheReuseS: 8.3}
platform: {address: %s, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
cloud: {address: %s, ratePerS: 50.0, duties: ["usage_report"], dutyPerS: 50.0}
`, quote(e.name), quote(e.ip), quote(e.zone), e.ip, e.frontPort, e.ip, e.readyPort, e.ip, e.frontPort+1, e.fleetPort, e.fleetPort+15,
		quote(e.seeds), first, w.site.memoryMb, quote(e.storeAddr), quote(e.dutiesAddr))
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, e := range w.edges {
		if e.cmd != nil {
			e.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(couldNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.stop()
		os.Exit(couldNotRun)
	}()
	code, result := play(w, os.Getenv("TROUBLE") != "0")
	w.stop()
	fmt.Println(result)
	if err := w.rec.write(os.Args[3], result); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = couldNotRun
	}
	os.Exit(code)
}
