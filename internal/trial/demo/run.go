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

// Report is the outcome of [Demo.Run]. Violations lists the invariants that did not hold.
type Report struct {
	workload.Report
	// WastedTokens counts generated tokens that reached no caller.
	WastedTokens int
	OutputTokens int
	// Spend is the price of all backend servers for the time of the run, SpendPerMega that per million delivered tokens.
	Spend        float64
	SpendPerMega float64
	// Fault describes the injected fault.
	Fault string
	// UsageDifferences counts organisations whose reported usage differs from what the engines counted.
	UsageDifferences int
	// UsageContradictions counts usage windows that were reported twice with different figures.
	UsageContradictions int
	// DoubleRuns counts the additional runs of calls that ran more than once.
	DoubleRuns int
	// KeysSeen counts requests in which a backend server received the API key of a caller.
	KeysSeen   int
	Violations []string
}

const (
	burstFactor = 4
	settleTime  = 300 * time.Millisecond
)

// Run generates load for duration, with a burst above capacity, injects one fault, and checks the outcome.
func (d *Demo) Run(ctx context.Context, duration time.Duration, progress func(float64)) (Report, error) {
	faultAt, faultFor := duration/2, min(3*time.Second, duration/5)
	stop := time.AfterFunc(faultAt, func() { d.injectFault("threadwell-2", faultFor) })
	defer stop.Stop()
	startedAt := time.Now()
	answers, err := workload.Run(ctx, d.profile(duration), workload.Options{
		Targets: d.Addresses.Callers, ExpectedText: expectedText, Progress: progress, DrainTimeout: time.Minute,
	})
	if err != nil {
		return Report{}, err
	}
	elapsed := time.Since(startedAt)
	time.Sleep(settleTime)
	r := Report{Report: workload.Summarise(answers, duration), Fault: fmt.Sprintf("threadwell-2 unreachable at %s for %s", faultAt, faultFor)}
	d.addCounts(ctx, &r, answers, elapsed)
	d.checkInvariants(&r)
	return r, nil
}

func expectedText(prompt string, n int) string {
	var s strings.Builder
	for i := range n {
		s.WriteString(enginefake.Token(prompt, i))
	}
	return s.String()
}

// injectFault makes an engine unreachable for duration: open connections break, and new ones are dropped.
func (d *Demo) injectFault(name string, duration time.Duration) {
	d.log.Warn().Str("Server", name).Dur("For", duration).Msg("injected fault: backend server is unreachable")
	d.engines[name].Crash(duration)
}

func (d *Demo) profile(duration time.Duration) workload.Profile {
	p := workload.Profile{Name: "demo", Seed: 1, Duration: object.Duration(duration)}
	withBurst := func(s workload.Source) workload.Source {
		s.Key = d.Addresses.Keys[s.Organisation]
		s.Burst, s.BurstAt, s.BurstFor = burstFactor, object.Duration(duration/4), object.Duration(duration/2)
		s.Spread = 0.6
		return s
	}
	withTargets := func(s workload.Source) workload.Source {
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
			p.Sources = append(p.Sources, withTargets(withBurst(s)))
		}
	}
	return p
}

// addCounts adds the counts of the fakes to the report.
func (d *Demo) addCounts(ctx context.Context, r *Report, answers []workload.Answer, elapsed time.Duration) {
	delivered := 0
	organisationOf := map[string]string{}
	for _, a := range answers {
		delivered += a.Tokens
		organisationOf[a.RequestID] = a.Organisation
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counted := map[string]meter.Usage{}
	for _, e := range d.engines {
		for id, c := range e.TokenCounts() {
			r.OutputTokens += c.Output
			counted[organisationOf[id]] = counted[organisationOf[id]].Add(meter.Usage{PromptTokens: int64(c.Prompt), OutputTokens: int64(c.Output)})
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
	r.UsageContradictions = d.contradictingWindows()
	for _, s := range d.services {
		for _, n := range s.Runs() {
			r.DoubleRuns += max(0, n-1)
		}
	}
	r.KeysSeen = d.leakedKeys()
}

// usageDifferences returns the number of organisations whose reported usage differs from what the engines counted. It
// retries until usageTimeout, as the last windows are reported some time after their end.
func (d *Demo) usageDifferences(ctx context.Context, counted map[string]meter.Usage) int {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	for {
		reported := d.reportedUsage()
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
		case <-time.After(settleTime):
		case <-ctx.Done():
			d.log.Error().Interface("Reported", reported).Interface("Engines", counted).Msg("reported usage differs from the usage that the engines counted")
			return n
		}
	}
}

// reportedUsage returns the reported usage by organisation. It counts each window once.
func (d *Demo) reportedUsage() map[string]meter.Usage {
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

// contradictingWindows counts usage windows that were reported again with different figures.
func (d *Demo) contradictingWindows() int {
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

// leakedKeys counts requests in which a fake backend server received the API key of a caller.
func (d *Demo) leakedKeys() int {
	n := 0
	var seen []enginefake.RecordedRequest
	for _, e := range d.engines {
		seen = append(seen, e.Requests()...)
	}
	for _, s := range d.services {
		seen = append(seen, s.Requests()...)
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

// checkInvariants adds the invariants that did not hold to the report.
func (d *Demo) checkInvariants(r *Report) {
	addViolation := func(invariant string, n int) {
		if n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%s: %d", invariant, n))
		}
	}
	addViolation("complete answers with wrong text", r.Wrong)
	addViolation("orders or bookings run twice", r.DoubleRuns)
	addViolation("organisations whose reported usage differs from what the engines counted", r.UsageDifferences)
	addViolation("usage windows reported twice with different figures", r.UsageContradictions)
	addViolation("requests in which a backend server received the API key of a caller", r.KeysSeen)
	addViolation("streams that ended without a complete answer or an explicit error", r.Codes["broken"])
	for i, h := range d.hosts {
		if !h.Status().Ready {
			addViolation("host not ready: "+hostName(i), 1)
		}
	}
}
