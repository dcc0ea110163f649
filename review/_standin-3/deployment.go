package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotramp/platform/standin"
)

// The bounds of the deployment, which are those of the sheet of threadwell-midlands.
const (
	drainTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	entryLife   = 3 * heartbeat
)

var zones = []string{"mid-a", "mid-b", "mid-c"}

// record writes what happens to record.txt, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment: hosts as processes, and the platform, the runners and the clients in this process.
type deployment struct {
	*record
	net     string // The first three numbers of the loopback addresses.
	temp    string
	store   *standin.Store
	storeAt string
	cloudAt string
	hosts   map[string]*host
	runners []*runner
	version int
}

// host is a process of the system.
type host struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
}

func (h *host) front() string { return h.ip + ":8740" }

func newDeployment(rec *record) (*deployment, error) {
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: rec, temp: temp, store: standin.NewStore(), hosts: map[string]*host{},
		net: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)),
	}
	if d.storeAt, err = serve(d.net+".1:0", d.store); err != nil {
		return nil, err
	}
	d.cloudAt, err = serve(d.net+".2:0", standin.NewDuties())
	return d, err
}

// serve serves h at addr until the process ends.
func serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

const settingsText = `nodeName: "%[1]s"
role: "edge"
machineClass: "edge"
serves: ["edge", "control_plane"]
ip: "%[2]s"
zone: "%[3]s"
region: "midlands"
zones: {mid-a: "midlands", mid-b: "midlands", mid-c: "midlands"}
listen: {front: "%[2]s:8740", ready: "%[2]s:8749", control: "%[2]s:8748"}
internalPorts: [7200, 7215]
seeds: ["%[4]s.11:8748", "%[4]s.12:8748", "%[4]s.13:8748"]
bootstrap: %[7]t
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, revokeStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 54, fencingRequired: true, leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageOff: 0.05, usageLateS: 10, recoverS: 12, iterationMs: 120, cacheReuseS: 8.3}
platform: {address: "%[5]s", form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
cloud: {address: "%[6]s", ratePerS: 50.0, duties: ["usage_report", "autoscale"], dutyPerS: 50.0}
`

// startHosts starts one host in each zone and waits until all are ready.
func (d *deployment) startHosts() error {
	for i, zone := range zones {
		h := &host{name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s.%d", d.net, 11+i)}
		h.settings = filepath.Join(d.temp, h.name+".yaml")
		d.hosts[zone] = h
		if err := d.start(h, true); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := d.awaitReady(h); err != nil {
			return err
		}
	}
	d.add("all hosts are ready")
	return nil
}

// start starts a process of a host with the command of the deploy file.
func (d *deployment) start(h *host, first bool) error {
	if err := d.writeSettings(h, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd, h.log, h.exited = exec.Command("target/shallotramp", "edge"), log, make(chan struct{})
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.temp, "LANG=C", "SHALLOTRAMP_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	d.add("host %s starts", h.name)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		d.add("host %s has ended: %v", h.name, err)
		close(exited)
	}(h.cmd, h.exited)
	return nil
}

func (d *deployment) awaitReady(h *host) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		res, err := http.Get("http://" + h.ip + ":8749/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("host " + h.name + " does not become ready")
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, h := range d.hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
		_ = h.log.Close()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, h := range d.hosts {
			if raw, err := os.ReadFile(filepath.Join(d.temp, h.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(dir, h.name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.temp)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, goal, gap          time.Duration
	attempts                    int
	sticky, resumable           bool
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(routes []route, services []map[string]any) error {
	return d.configureKeys(routes, services, []string{"key-1"})
}

func (d *deployment) configureKeys(routes []route, services []map[string]any, keys []string) error {
	d.version += 3
	list := make([]map[string]any, 0, len(routes))
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "review.example", "pathPrefix": r.prefix, "routeKind": r.kind,
			"timeoutMs": r.timeout.Milliseconds(), "goalMs": r.goal.Milliseconds(), "gapTargetMs": r.gap.Milliseconds(),
			"priority": i, "service": r.service, "maxAttempts": r.attempts, "anonymous": false, "sticky": r.sticky, "resumable": r.resumable,
		})
	}
	d.add("the operator writes version %d", d.version)
	return d.store.Put("config", "main", map[string]any{
		"version": d.version, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "apiKeys": keys, "priority": 1}},
	})
}

func bookingService() map[string]any {
	return map[string]any{"name": "bookings-app", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}
}

func modelService() map[string]any {
	return map[string]any{
		"name": "shallot-pool", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 506016, "kvTokenBytes": 18432, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
	}
}

// answer is what a client got for a request.
type answer struct {
	id, host        string
	sentAt, endedAt time.Time
	status          int
	body            string
	// leaving is set if the answer says that its runner leaves.
	leaving bool
	// whole is set if the answer came to its end.
	whole bool
	err   error
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, whole: %t", a.status, a.whole)
}

var attempts struct {
	sync.Mutex
	n uint64
}

func newID() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.n)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}

// send sends a request to a host and reads the answer to its end.
func (d *deployment) send(h *host, path, body string, deadline time.Duration, header map[string]string) answer {
	a := answer{id: newID(), host: h.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front()+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "review.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("Authorization", "Token key-1")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	raw, err := io.ReadAll(res.Body)
	a.body, a.err, a.whole, a.endedAt = string(raw), err, err == nil, time.Now()
	a.leaving = res.Header.Get("Server-Leaving") != ""
	return a
}
