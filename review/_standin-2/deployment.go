package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotramp/platform/standin"
)

// settings is the settings file of a host with the figures of the small site zhaiyk-liners.
const settings = `nodeName: "%[1]s"
role: "edge"
machineClass: "edge"
ip: "%[2]s"
zone: "%[3]s"
region: "atyrau"
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internalPorts: [%[7]d, %[7]d]
seeds: ["%[8]s:%[6]d"]
bootstrap: %[11]t
limits: {cpuShare: 0.4, cores: 1, memoryMb: %[12]d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
contracts: [base, drain, config, cost, retry, recover, engine, stream, tenants, leader, platform]
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 52, fencingRequired: true, leaseMs: 3000, usageWindowS: 5, usageOff: 0.05, usageLateS: 10}
platform: {address: "%[9]s", form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576}
cloud: {address: "%[10]s", duties: [usage_report, autoscale], dutyPerS: 50.0}
`

// memoryMb is the memory of a machine of zhaiyk-liners.
const memoryMb = 134

// host is one process of the deploy file's role.
type host struct {
	name, ip, zone string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	ended          chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir               string
	record            *recorder
	store             *standin.Store
	duties            *standin.Duties
	storeAddr, duAddr string
	front             int
	hosts             []*host
	servers           []*standin.Server
	closers           []func()
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// exit ends the program with 2 as the case cannot run.
type cannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

func newDeployment(record *recorder) *deployment {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	d := &deployment{dir: dir, record: record, store: standin.NewStore(), duties: standin.NewDuties()}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	d.storeAddr, d.duAddr = d.serve(d.store), d.serve(d.duties)
	d.front = freePorts()
	return d
}

// serve serves h at a free loopback address.
func (d *deployment) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	d.closers = append(d.closers, func() { _ = srv.Close() })
	return l.Addr().String()
}

// freePorts returns the first of five ports that are free on 127.0.0.1.
func freePorts() int {
	for p := 20000 + os.Getpid()%10000; p < 60000; p += 10 {
		free := true
		for i := range 5 {
			l, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(p+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return p
		}
	}
	panic(cannotRun{fmt.Errorf("no free ports")})
}

// addHost writes the settings of a host. It does not start the process. Host number i has the address 127.0.77.(10+i).
func (d *deployment) addHost(zone string, storeAddr string) *host {
	i := len(d.hosts)
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i), ip: fmt.Sprintf("127.0.77.%d", 10+i), zone: zone}
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	d.hosts = append(d.hosts, h)
	d.writeSettings(h, storeAddr, true)
	log, err := os.Create(filepath.Join(d.dir, h.name+".log"))
	must(err)
	h.log = log
	return h
}

func (d *deployment) writeSettings(h *host, storeAddr string, bootstrap bool) {
	text := fmt.Sprintf(settings, h.name, h.ip, h.zone, d.front, d.front+1, d.front+2, d.front+3, "127.0.77.10", storeAddr, d.duAddr, bootstrap, memoryMb)
	must(os.WriteFile(h.settings, []byte(text), 0o600))
}

func (d *deployment) frontOf(h *host) string { return fmt.Sprintf("%s:%d", h.ip, d.front) }

func (d *deployment) start(h *host) {
	bin, err := filepath.Abs("target/shallotramp")
	must(err)
	h.cmd = exec.Command(bin, "edge")
	h.cmd.Env = append(os.Environ(), "SHALLOTRAMP_CONFIG="+h.settings, fmt.Sprintf("SHALLOTRAMP_METRICS_PORT=%d", d.front+4), "GOTRACEBACK=single")
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(h.cmd.Start())
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		d.record.line("process of %s ended: %v", h.name, err)
		close(ended)
	}(h.cmd, h.ended)
}

// awaitReady waits until a host is ready.
func (d *deployment) awaitReady(h *host) {
	for range 600 {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, d.front+1))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(cannotRun{fmt.Errorf("%s is not ready: %s", h.name, tail(h.log.Name()))})
}

func tail(file string) string {
	raw, _ := os.ReadFile(file)
	return string(raw[max(0, len(raw)-2000):])
}

// isRunning reports whether the process of a host runs.
func (h *host) isRunning() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// memory returns a field of the process's status in MB.
func (h *host) memory(field string) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	_, after, _ := strings.Cut(string(raw), field+":")
	kb, _ := strconv.Atoi(strings.Fields(after + " 0")[0])
	return float64(kb) / 1024
}

// logged returns the lines of a host's log that contain text.
func (h *host) logged(text string) []string {
	raw, _ := os.ReadFile(h.log.Name())
	var out []string
	for _, l := range bytes.Split(raw, []byte("\n")) {
		if bytes.Contains(l, []byte(text)) {
			out = append(out, string(l))
		}
	}
	return out
}

// close ends all processes and listeners, and records what the runners ran.
func (d *deployment) close() {
	for _, s := range d.servers {
		d.record.line("the runner %s ran %d requests", s.ID, len(s.Runs()))
	}
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil && h.isRunning() {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
		_ = h.log.Close()
	}
	for _, f := range d.closers {
		f()
	}
}

// configure publishes a configuration like that of the pages, with more routes besides, and returns its size in bytes.
func (d *deployment) configure(version, more int) (size int) {
	route := func(name, service, kind string, timeoutMs, goalMs int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "a.example", "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": timeoutMs, "goalMs": goalMs,
			"priority": 1, "service": service, "maxAttempts": 1, "anonymous": false, "sticky": false, "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []any{
		route("place", "desk", "unsafe", 1500, 300, nil),
		route("status", "desk", "safe", 1500, 300, map[string]any{"maxAttempts": 2}),
		route("help", "llm", "streaming", 15000, 300, map[string]any{"sticky": true, "resumable": true, "gapTargetMs": 250, "maxAttempts": 2}),
		route("review", "llm", "streaming", 6000, 800, map[string]any{"sticky": true, "gapTargetMs": 400}),
	}
	for i := range more {
		routes = append(routes, route(fmt.Sprintf("r-%d", i), "desk", "safe", 1500+version, 300, nil))
	}
	spec := map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 229540}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "farm", "apiKeys": []string{"key-1"}}},
	}
	raw, err := json.Marshal(spec)
	must(err)
	must(d.store.Put("config", "main", spec))
	return len(raw)
}

// startServer starts a runner and writes its entry.
func (d *deployment) startServer(id, service, zone string, slots int) *standin.Server {
	s, err := standin.StartServer(id, "127.0.0.1:0")
	must(err)
	d.closers = append(d.closers, s.Stop)
	d.servers = append(d.servers, s)
	must(d.store.Put("servers", id, s.Entry(service, zone, slots, "ready")))
	return s
}
