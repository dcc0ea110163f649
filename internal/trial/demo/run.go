package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"shallotramp/internal/catalog/object"
	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/trial/workload"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

// Report is the outcome of a demo's load. Broken lists what should always hold and did not.
type Report struct {
	workload.Report
	// WastedTokens were generated and reached no caller.
	WastedTokens int
	OutputTokens int
	Spend        float64
	SpendPerMega float64
	Fault        string
	// UsageDifferences counts organisations whose usage differs from the engines' own count.
	UsageDifferences int
	// UsageContradictions counts windows reported twice with different figures.
	UsageContradictions int
	DoubleRuns          int
	KeysSeen            int
	Violations          []string
}

const (
	burstFactor = 4
	settle      = 300 * time.Millisecond
)

// Run offers a load with a burst above capacity for duration, injects one fault, and checks the outcome.
func (d *Demo) Run(ctx context.Context, duration time.Duration, progress func(float64)) (Report, error) {
	faultAt, faultFor := duration/2, min(3*time.Second, duration/5)
	stop := time.AfterFunc(faultAt, func() { d.fault("threadwell-2", faultFor) })
	defer stop.Stop()
	begun := time.Now()
	answers, err := workload.Run(ctx, d.profile(duration), workload.Options{
		Targets: d.Addresses.Callers, ExpectedText: expect, Progress: progress, DrainTimeout: time.Minute,
	})
	if err != nil {
		return Report{}, err
	}
	elapsed := time.Since(begun)
	time.Sleep(settle)
	r := Report{Report: workload.Summarise(answers, duration), Fault: fmt.Sprintf("threadwell-2 gone at %s for %s", faultAt, faultFor)}
	d.account(ctx, &r, answers, elapsed)
	d.judge(&r)
	return r, nil
}

func expect(prompt string, n int) string {
	var s strings.Builder
	for i := range n {
		s.WriteString(enginefake.Token(prompt, i))
	}
	return s.String()
}

// fault makes an engine vanish for a while: its connections break and new ones are dropped.
func (d *Demo) fault(name string, lasts time.Duration) {
	d.log.Warn().Str("Server", name).Dur("For", lasts).Msg("injected fault: the backend server is gone")
	d.engines[name].Vanish(lasts)
}

func (d *Demo) profile(duration time.Duration) workload.Profile {
	p := workload.Profile{Name: "demo", Seed: 1, Duration: object.Duration(duration)}
	burst := func(s workload.Source) workload.Source {
		s.Key = d.Addresses.Keys[s.Organisation]
		s.Burst, s.BurstAt, s.BurstFor = burstFactor, object.Duration(duration/4), object.Duration(duration/2)
		s.Spread = 0.6
		return s
	}
	class := func(s workload.Source) workload.Source {
		c := d.set.Classes[s.Class]
		s.FirstToken, s.BetweenTokens = c.FirstToken, c.BetweenTokens
		return s
	}
	for _, org := range []struct{ chat, other, model, path string }{
		{"threadwell-direct", "wardrobe-partner", "threadwell-brief", "/bookings/fitter"},
		{"zhaiyk-coop", "zhaiyk-irrigation", "zhaiyk-tender", "/orders/liner"},
	} {
		for _, s := range []workload.Source{
			{Organisation: org.chat, Class: "chat", Model: org.model, Rate: 2.2, PromptWords: 40, OutputTokens: 30},
			{Organisation: org.other, Class: "chat", Model: org.model, Rate: 0.8, PromptWords: 40, OutputTokens: 30},
			{Organisation: org.chat, Class: "briefing", Model: org.model, Rate: 2.5, PromptWords: 400, OutputTokens: 120},
			{Organisation: org.other, Class: "briefing", Model: org.model, Rate: 1, PromptWords: 400, OutputTokens: 120},
			{Organisation: org.chat, Class: "review", Model: org.model, Rate: 1, PromptWords: 600, OutputTokens: 150},
			{Organisation: org.chat, Class: "order", Path: org.path, Rate: 5, Resend: true},
			{Organisation: org.other, Class: "order", Path: org.path, Rate: 2, Resend: true},
		} {
			p.Sources = append(p.Sources, class(burst(s)))
		}
	}
	return p
}

// account adds what the stand-ins and hosts counted.
func (d *Demo) account(ctx context.Context, r *Report, answers []workload.Answer, elapsed time.Duration) {
	delivered := 0
	owner := map[string]string{}
	for _, a := range answers {
		delivered += a.Tokens
		owner[a.RequestID] = a.Organisation
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counted := map[string]meter.Usage{}
	for _, e := range d.engines {
		for id, c := range e.Counts() {
			r.OutputTokens += c.Output
			counted[owner[id]] = counted[owner[id]].Add(meter.Usage{PromptTokens: int64(c.Prompt), OutputTokens: int64(c.Output)})
		}
	}
	r.WastedTokens = r.OutputTokens - delivered
	for _, b := range d.set.BackendServers {
		r.Spend += b.Price * elapsed.Hours()
	}
	if delivered > 0 {
		r.SpendPerMega = r.Spend / float64(delivered) * 1e6
	}
	r.UsageDifferences = d.usageDifferences(ctx, counted)
	r.UsageContradictions = d.contradictions()
	for _, s := range d.services {
		for _, n := range s.Runs() {
			r.DoubleRuns += max(0, n-1)
		}
	}
	r.KeysSeen = d.keysSeen()
}

// usageDifferences compares what the platform was reported with the engines' own count. The last
// windows are reported a while after their end.
func (d *Demo) usageDifferences(ctx context.Context, counted map[string]meter.Usage) int {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	for {
		reported := d.reported()
		n := 0
		for org := range d.set.Organisations {
			a, b := reported[org], counted[org]
			if a.PromptTokens != b.PromptTokens || a.OutputTokens != b.OutputTokens {
				n++
			}
		}
		if n == 0 {
			return 0
		}
		select {
		case <-time.After(settle):
		case <-ctx.Done():
			d.log.Error().Interface("Reported", reported).Interface("Engines", counted).Msg("usage differs")
			return n
		}
	}
}

// reported sums the reports that the platform received, each window once.
func (d *Demo) reported() map[string]meter.Usage {
	out := map[string]meter.Usage{}
	seen := map[window.ID]bool{}
	for _, r := range d.reports.All() {
		if seen[r.Report.Window] {
			continue
		}
		seen[r.Report.Window] = true
		for org, u := range r.Report.Figures {
			out[org] = out[org].Add(u)
		}
	}
	return out
}

// contradictions counts windows that were reported twice with different figures.
func (d *Demo) contradictions() int {
	n := 0
	first := map[window.ID]string{}
	for _, r := range d.reports.All() {
		if digest, ok := first[r.Report.Window]; ok && digest != r.Report.Digest {
			n++
		}
		first[r.Report.Window] = r.Report.Digest
	}
	return n
}

// keysSeen counts requests in which a stand-in received a caller's key.
func (d *Demo) keysSeen() int {
	n := 0
	var seen []enginefake.Seen
	for _, e := range d.engines {
		seen = append(seen, e.Seen()...)
	}
	for _, s := range d.services {
		seen = append(seen, s.Seen()...)
	}
	for _, s := range seen {
		b, err := json.Marshal(s)
		if err != nil {
			continue
		}
		for _, k := range d.Addresses.Keys {
			if bytes.Contains(b, []byte(k)) {
				n++
			}
		}
	}
	return n
}

// judge lists what must always hold and did not.
func (d *Demo) judge(r *Report) {
	broken := func(text string, n int) {
		if n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%s: %d", text, n))
		}
	}
	broken("answers that are not the right ones", r.Wrong)
	broken("orders or bookings run twice", r.DoubleRuns)
	broken("organisations whose usage differs from the engines' count", r.UsageDifferences)
	broken("usage windows reported twice with different figures", r.UsageContradictions)
	broken("requests in which a backend server saw a caller's key", r.KeysSeen)
	broken("streams that ended without the whole answer or an explicit error", r.Codes["broken"])
	for i, h := range d.hosts {
		if !h.Status().Ready {
			broken("host not ready: "+hostName(i), 1)
		}
	}
}
