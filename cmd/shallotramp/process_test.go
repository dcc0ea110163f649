package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"shallotramp/internal/catalog/object"
)

// process is one process of a deployment. url is its address for callers, operatorsURL that for operators.
type process struct {
	cmd          *exec.Cmd
	url          string
	operatorsURL string
}

// deployment is a platform, two engines, a booking service and two hosts, each in its own process.
type deployment struct {
	t        *testing.T
	binary   string
	platform *process
	engines  []*process
	service  *process
	hosts    []*process
}

const testKey = "sk-process-test"

// start runs the command and waits for the output line that has its listen addresses.
func (d *deployment) start(args ...string) *process {
	d.t.Helper()
	cmd := exec.Command(d.binary, args...)
	pipe, err := cmd.StdoutPipe()
	if args[0] == "serve" {
		pipe, err = cmd.StderrPipe()
	}
	if err != nil {
		d.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p := &process{cmd: cmd}
	d.t.Cleanup(func() { p.kill() })
	r := bufio.NewReader(pipe)
	for p.url == "" {
		line, err := r.ReadString('\n')
		if err != nil {
			d.t.Fatal("the process ended before it printed its addresses: ", err)
		}
		p.url = gjson.Get(line, "URL").String() + gjson.Get(line, "Callers").String()
		p.operatorsURL = gjson.Get(line, "Operators").String()
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	return p
}

// kill ends the process with SIGKILL. A second call has no effect.
func (p *process) kill() {
	if p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, binary: filepath.Join(t.TempDir(), "shallotramp")}
	if out, err := exec.Command("go", "build", "-o", d.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	d.platform = d.start("standin", "platform")
	for range 2 {
		d.engines = append(d.engines, d.start("standin", "engine", "--models", "m", "--token", "10ms"))
	}
	d.service = d.start("standin", "service")
	file := filepath.Join(t.TempDir(), "objects.yaml")
	hostPort := func(p *process) string { return strings.TrimPrefix(p.url, "http://") }
	text := fmt.Sprintf(strings.Join([]string{
		`{Kind: Organisation, Name: a}`,
		`{Kind: Key, Name: a, Organisation: a, Digest: %s}`,
		`{Kind: Class, Name: c, Tier: 1, Deadline: 30s}`,
		`{Kind: Route, Name: m, Model: m, Pool: engines, Classes: [c], Idempotent: true}`,
		`{Kind: Class, Name: booking, Tier: 2, Deadline: 4s}`,
		`{Kind: Route, Name: book, Path: /book/, Pool: services, Classes: [booking]}`,
		`{Kind: Pool, Name: engines, Protocol: Engine, Models: [m], Concurrency: 8}`,
		`{Kind: Pool, Name: services, Protocol: Service, Concurrency: 8}`,
		`{Kind: BackendServer, Name: e1, Pool: engines, Zone: z, Address: "%s"}`,
		`{Kind: BackendServer, Name: e2, Pool: engines, Zone: z, Address: "%s"}`,
		`{Kind: BackendServer, Name: s1, Pool: services, Zone: z, Address: "%s"}`,
	}, "\n---\n"), object.DigestOf(testKey), hostPort(d.engines[0]), hostPort(d.engines[1]), hostPort(d.service))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(d.binary, "publish", "--platform", d.platform.url, file).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i := range 2 {
		d.hosts = append(d.hosts, d.start("serve", "--name", fmt.Sprintf("h%d", i), "--zone", "z", "--platform", d.platform.url,
			"--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--drain-delay", "100ms"))
		d.eventually("the host is ready", func() bool { return gjson.Get(d.get(d.hosts[i].operatorsURL+"/ready"), "Ready").Bool() })
	}
	return d
}

func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatal("timed out waiting until ", what)
}

// get returns the body of the response from url, or an empty string if the request fails.
func (d *deployment) get(url string) string {
	res, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}

func (d *deployment) setFaults(p *process, text string) {
	d.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, p.url+"/faults", strings.NewReader(text))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = res.Body.Close()
}

// post sends a request and returns the status, 0 for a broken connection, and the body.
func (d *deployment) post(h *process, path, body, key string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, h.url+path, strings.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, string(b)
	}
	return res.StatusCode, string(b)
}

// stream requests a stream of tokens from the first host. The response body is sent on the returned channel.
func (d *deployment) stream(tokens int) <-chan string {
	response := make(chan string, 1)
	go func() {
		_, body := d.post(d.hosts[0], "/v1/chat/completions", fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens), "")
		response <- body
	}()
	return response
}

func (d *deployment) runCounts() map[string]int {
	out := map[string]int{}
	if err := json.Unmarshal([]byte(d.get(d.service.url+"/runs")), &out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// TestBookingRunsOnceWhenItsHostFails guards against a booking that runs twice. A host is killed or frozen while the
// service runs its booking, and the caller sends the booking again to the other host.
func TestBookingRunsOnceWhenItsHostFails(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *process){
		"the host is killed": func(_ *testing.T, p *process) { p.kill() },
		"the host freezes":   func(t *testing.T, p *process) { p.signal(t, syscall.SIGSTOP) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.setFaults(d.service, `{"Delay":500000000}`)
			go d.post(d.hosts[0], "/book/x", `{"Slot":1}`, "key-1")
			d.eventually("the service got the booking", func() bool { return strings.Contains(d.get(d.service.url+"/seen"), "key-1") })
			fail(t, d.hosts[0])
			for range 3 {
				code, body := d.post(d.hosts[1], "/book/x", `{"Slot":1}`, "key-1")
				ran := gjson.Get(body, "error.ran").String()
				if code != http.StatusCreated && ran != "may have run" {
					t.Errorf("the resend got %d %s", code, body)
				}
			}
			if n := d.runCounts()["key-1"]; n != 1 {
				t.Errorf("the booking ran %d times", n)
			}
			if code, body := d.post(d.hosts[1], "/book/x", `{"Slot":2}`, "key-2"); code != http.StatusCreated || d.runCounts()["key-2"] != 1 {
				t.Errorf("another booking got %d %s", code, body)
			}
		})
	}
}

// TestStreamSurvivesItsEngine guards against a stream that is cut or repeats tokens when its engine is killed.
func TestStreamSurvivesItsEngine(t *testing.T) {
	d := newDeployment(t)
	response := d.stream(100)
	var running *process
	d.eventually("an engine runs the stream", func() bool {
		for _, e := range d.engines {
			if strings.Contains(d.get(e.url+"/counts"), `"Output":1`) {
				running = e
				return true
			}
		}
		return false
	})
	running.kill()
	body := <-response
	if n := strings.Count(body, `"delta":{"content":"w`); n != 100 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("got %d tokens: %.200s", n, body)
	}
}

// TestPlatformOutage guards against a platform outage that stops requests which need no record on the platform. A booking
// needs one, the claim of its idempotency key, so that no other host runs it too. Bookings must therefore fail without
// running, and the error must say whether they ran.
func TestPlatformOutage(t *testing.T) {
	d := newDeployment(t)
	d.platform.kill()
	if code, body := d.post(d.hosts[0], "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"tokens=3"}]}`, ""); code != http.StatusOK {
		t.Errorf("a model request got %d %s", code, body)
	}
	code, body := d.post(d.hosts[0], "/book/x", `{"Slot":1}`, "key-1")
	if code < http.StatusInternalServerError || gjson.Get(body, "error.ran").String() == "" {
		t.Errorf("a booking got %d %s", code, body)
	}
	if n := d.runCounts()["key-1"]; n != 0 {
		t.Errorf("the booking ran %d times without a claim", n)
	}
}

// TestPlannedStopOfAProcess guards against a planned stop that cuts an open stream. The host gets SIGTERM while it streams.
func TestPlannedStopOfAProcess(t *testing.T) {
	d := newDeployment(t)
	response := d.stream(80)
	d.eventually("the stream is open", func() bool { return gjson.Get(d.get(d.hosts[0].operatorsURL+"/status"), "Open").Int() == 1 })
	d.hosts[0].signal(t, syscall.SIGTERM)
	if body := <-response; !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("the stream was cut: %.300s", body)
	}
	if err := d.hosts[0].cmd.Wait(); err != nil {
		t.Errorf("the host ended with %v", err)
	}
}
