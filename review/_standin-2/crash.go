package main

import (
	"context"
	"fmt"
	"math/rand/v2"
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

const (
	// crashRunners run the streams; one of them is killed. The site's largest share of srv_crash is 0.25.
	crashRunners = 4
	// streamEvents is the number of events of each stream, about the mean of form-help in the site file, and eventGap the time
	// between two of them.
	streamEvents = 60
	eventGap     = 30 * time.Millisecond
	// streamsPerSecond are sent by the clients for crashTime.
	streamsPerSecond = 20
	crashTime        = 12 * time.Second
)

// serveRunner is a runner as a process of its own: it prints its address and serves until it is killed. Its streams have neither
// a length nor chunks and end with their connection.
func serveRunner(id string) int {
	s, err := standin.StartServer(id, "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.EventCount, s.EventInterval = streamEvents, eventGap
	s.SetFaults(standin.ServerFaults{Unframed: true})
	fmt.Println(s.Addr())
	time.Sleep(3 * time.Minute)
	return 0
}

// startRunner starts a runner as a process and writes its entry.
func (d *deployment) startRunner(id, service, zone string, slots int) *exec.Cmd {
	self, err := filepath.Abs(os.Args[0])
	must(err)
	cmd := exec.Command(self, "runner", id)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	must(err)
	must(cmd.Start())
	d.closers = append(d.closers, func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // It was killed.
	})
	var addr string
	_, err = fmt.Fscanln(out, &addr)
	must(err)
	must(d.store.Put("servers", id, map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}))
	return cmd
}

// crash kills a runner while it answers streams that may be resumed.
func crash(r *recorder, trouble bool) (broken bool) {
	d := newDeployment(r)
	defer d.close()
	d.configure(3, 0)
	var runners []*exec.Cmd
	for i := range crashRunners {
		runners = append(runners, d.startRunner(fmt.Sprintf("i-llm%d", i), "llm", "atyrau-a", 64))
	}
	h := d.addHost("atyrau-a", d.storeAddr)
	d.start(h)
	d.awaitReady(h)
	c := newClient("client")
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, whole, short, cut := 0, 0, 0, 0
	killed := false
	bySeal := map[int]int{}
	start := time.Now()
	for time.Since(start) < crashTime {
		if trouble && !killed && time.Since(start) > crashTime/2 {
			killed = true
			mu.Lock()
			busiest := 0
			for i := range runners {
				if bySeal[i] > bySeal[busiest] {
					busiest = i
				}
			}
			mu.Unlock()
			must(runners[busiest].Process.Kill())
			r.line("the runner i-llm%d, which has answered most streams, is killed", busiest)
		}
		sent++
		wg.Go(func() {
			a := c.send(context.Background(), d.frontOf(h), http.MethodPost, "/help/x", 15000, "x",
				"X-Token-Usage", "826,240", "X-Prompt-Prefix", fmt.Sprintf("a1:119,b2:79,%x:628", 4096+rand.IntN(1<<20)), "X-Model", "m")
			events := countEvents(a.body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err != nil || a.status != http.StatusOK:
				cut++
				r.line("%s; %d events of %d", a, events, streamEvents)
			case events == streamEvents:
				whole++
				r.line("%s; whole", a)
				var i int
				if _, err := fmt.Sscanf(a.header.Get("X-Response-Seal"), "seal-i-llm%d-", &i); err == nil {
					bySeal[i]++
				}
			default:
				short++
				r.line("%s; ends as complete after %d events of %d", a, events, streamEvents)
			}
		})
		time.Sleep(time.Second / streamsPerSecond)
	}
	wg.Wait()
	r.line("%d streams: %d whole, %d that do not look complete, %d that end as complete before their last piece", sent, whole, cut, short)
	r.line("whole streams by runner: %v", bySeal)
	return short > 0
}

// countEvents returns the number of the events from 1 on without a gap.
func countEvents(body string) int {
	n := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if i, err := strconv.Atoi(id); err == nil && i == n+1 {
			n++
		}
	}
	return n
}
