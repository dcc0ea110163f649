// Package pace estimates how long work takes on each backend server of a service, relative to the other servers of the
// service. Inputs are what the servers say about the moment, the times to first tokens, the intervals between events
// and what other hosts have learned. The package does no I/O and reads no clock.
//
// The lasting pace changes in steps of a fixed grid and only when the evidence has left the step clearly, so that all
// hosts arrive at the same figure and none follows noise. What a server says about the moment counts for wordLifetime.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// wordLifetime is how long a server's word on the moment counts, less and less: servers say another one many times
	// a second.
	wordLifetime = 500 * time.Millisecond
	// wordSpacing is the least time between two words of a server that count as evidence of its lasting pace: words
	// within it are of the same moment.
	wordSpacing = 250 * time.Millisecond
	// minWords and minTimings are the numbers of words and of measured times from which a server has a lasting pace.
	minWords, minTimings = 3, 12
	// maxSamples bounds the samples kept of a server and kind, sampleLifetime their age: a server that gets little work
	// because it was slow counts as usual again after that time.
	maxSamples     = 24
	sampleLifetime = 20 * time.Second
	// minServers is the number of servers with a figure from which a service has a usual one.
	minServers = 3
	// wordBand is the ratio to the present step from which words change the lasting pace.
	wordBand = 1.2
	// Measured times contain the work of others. From slowFrom times the usual on they show that a server is slow, and
	// below usualBelow that it is not. They never show that one is fast: it may just have had less to do.
	slowFrom, usualBelow = 2.0, 1.4
	// timingQuantile is the quantile of measured times that is used. It is low because unknown work can only delay.
	timingQuantile = 0.2
	// gridSteps is the number of steps of the lasting pace in a doubling.
	gridSteps = 4
	// fastest and slowest bound the pace, so that no report makes a server take all requests or none.
	fastest, slowest = 0.42, 4.0
	// fastestMoment bounds what one word can gain a server beyond its lasting pace: hosts get the same word at once.
	fastestMoment, slowestMoment = 0.8, 4.0
	// heardLifetime is how long the news of other hosts about a server is used, from the measurement on.
	heardLifetime = 20 * time.Second
	// restartSpread is the time in which all hosts learn of a server's restart. News of a measurement before its end
	// may be of the former process.
	restartSpread = 3 * time.Second
	// maxNotices bounds the servers in one message, and maxHeard those of which news is kept.
	maxNotices, maxHeard = 32, 512
	// gapShare is the share of the gap target that the interval between two events may take.
	gapShare = 0.5
	// minBatchShare is the least share of its slots that a slow server is given.
	minBatchShare = 0.25
)

// Pace is how long work takes on a server as a multiple of what it takes on a usual server of the service.
type Pace struct{ Prefill, Decode float64 }

// Usual is the pace of a server about which nothing is known.
var Usual = Pace{1, 1}

// Notice says that a server's lasting pace differs from the usual one.
type Notice struct {
	Server string
	Pace   Pace
	// At is the time of the latest measurement that it is based on.
	At time.Time
}

// Service holds what a host knows of the pace of the servers of a service.
type Service struct {
	servers map[string]*server
	heard   map[string]Notice
	// usualWord is the word of a usual server, 0 if there are too few.
	usualWord float64
	// eventTime is the interval between two events of a usual server, 0 if there are too few.
	eventTime time.Duration
	differs   bool
}

// New returns a Service about which nothing is known.
func New() *Service { return &Service{servers: map[string]*server{}, heard: map[string]Notice{}} }

type server struct {
	words, prefills, events samples
	// word is the latest word, of wordAt; usualWord is the median of its words, 0 if there are too few.
	word, usualWord float64
	wordAt          time.Time
	lasting         Pace
	// known is set if lasting is based on measurements of this host, the latest of measuredAt.
	known      bool
	measuredAt time.Time
	// newsFrom is the time of the first measurement by other hosts that is used; zero if all are.
	newsFrom time.Time
}

// sample is a measurement.
type sample struct {
	at    time.Time
	value float64
}

// samples are the latest measurements, oldest first.
type samples []sample

func (l *samples) add(now time.Time, v float64) {
	if len(*l) == maxSamples {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, sample{now, v})
}

func (l *samples) expire(now time.Time) {
	i := 0
	for i < len(*l) && now.Sub((*l)[i].at) > sampleLifetime {
		i++
	}
	*l = slices.Delete(*l, 0, i)
}

// quantile returns a quantile of the values, or 0 if there are fewer than least.
func (l samples) quantile(q float64, least int) float64 {
	if len(l) < least {
		return 0
	}
	values := make([]float64, len(l))
	for i, s := range l {
		values[i] = s.value
	}
	return quantile(values, q)
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

func (s *Service) server(id string) *server {
	x := s.servers[id]
	if x == nil {
		x = &server{lasting: Usual}
		s.servers[id] = x
	}
	return x
}

// Word records how long work takes on a server at this moment, as the server says. 1 means as usual, but all servers of a
// service may share another unit.
func (s *Service) Word(now time.Time, id string, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	x := s.server(id)
	x.word, x.wordAt = slowdown, now
	if n := len(x.words); n == 0 || now.Sub(x.words[n-1].at) >= wordSpacing {
		x.words.add(now, slowdown)
		x.measuredAt = now
	}
}

// FirstToken records the time to a first token, and the time that was expected on a usual server with the known queue.
func (s *Service) FirstToken(now time.Time, id string, took, expected time.Duration) {
	if took > 0 && expected > 0 {
		x := s.server(id)
		x.prefills.add(now, float64(took)/float64(expected))
		x.measuredAt = now
	}
}

// Events records the mean interval between the events of a stream.
func (s *Service) Events(now time.Time, id string, interval time.Duration) {
	if interval > 0 {
		x := s.server(id)
		x.events.add(now, float64(interval))
		x.measuredAt = now
	}
}

// Restarted forgets the former process of a server.
func (s *Service) Restarted(now time.Time, id string) {
	s.Forget(id)
	s.server(id).newsFrom = now.Add(restartSpread)
}

// Forget forgets a server.
func (s *Service) Forget(id string) {
	delete(s.servers, id)
	delete(s.heard, id)
}

// Hear records the news of another host. Newer news replaces older.
func (s *Service) Hear(now time.Time, n Notice) {
	if n.At.After(now) {
		n.At = now // Later news must be able to replace it.
	}
	_, known := s.heard[n.Server]
	x := s.servers[n.Server]
	switch {
	case now.Sub(n.At) > heardLifetime, !n.Pace.valid(), !known && len(s.heard) >= maxHeard:
	case x != nil && n.At.Before(x.newsFrom):
	case known && !n.At.After(s.heard[n.Server].At):
	default:
		n.Pace.Prefill, n.Pace.Decode = bound(n.Pace.Prefill), bound(n.Pace.Decode)
		s.heard[n.Server] = n
	}
}

func (p Pace) valid() bool {
	ok := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	return ok(p.Prefill) && ok(p.Decode)
}

func bound(v float64) float64 { return min(max(v, fastest), slowest) }

// Update derives the lasting paces from the measurements. It reports whether that of a server has changed.
func (s *Service) Update(now time.Time) bool {
	var words, prefills, events []float64
	for _, x := range s.servers {
		x.words.expire(now)
		x.prefills.expire(now)
		x.events.expire(now)
		if x.usualWord = x.words.quantile(0.5, minWords); x.usualWord > 0 {
			words = append(words, x.usualWord)
		}
		if v := x.prefills.quantile(timingQuantile, minTimings); v > 0 {
			prefills = append(prefills, v)
		}
		if v := x.events.quantile(timingQuantile, minTimings); v > 0 {
			events = append(events, v)
		}
	}
	s.usualWord = median(words)
	usualPrefill, usualEvent := median(prefills), median(events)
	s.eventTime = time.Duration(usualEvent)
	for id, n := range s.heard {
		if now.Sub(n.At) > heardLifetime {
			delete(s.heard, id)
		} else {
			s.server(id)
		}
	}
	changed := false
	s.differs = false
	for id, x := range s.servers {
		old := x.lasting
		x.settle(s.usualWord, usualPrefill, usualEvent)
		if n, ok := s.heard[id]; ok && !x.known {
			x.lasting = n.Pace
		}
		changed = changed || x.lasting != old
		s.differs = s.differs || x.lasting != Usual
	}
	return changed
}

// median returns the median, or 0 if there are too few values for a usual server.
func median(values []float64) float64 {
	if len(values) < minServers {
		return 0
	}
	return quantile(values, 0.5)
}

// settle sets the lasting pace from the server's own figures and the usual ones.
func (x *server) settle(usualWord, usualPrefill, usualEvent float64) {
	if x.usualWord > 0 && usualWord > 0 {
		x.known = true
		v := step(x.lasting.Prefill, x.usualWord/usualWord, wordBand)
		x.lasting = Pace{v, v}
		return
	}
	prefill, event := x.prefills.quantile(timingQuantile, minTimings), x.events.quantile(timingQuantile, minTimings)
	x.known = prefill > 0 && usualPrefill > 0 || event > 0 && usualEvent > 0
	if !x.known {
		x.lasting = Usual
		return
	}
	if prefill > 0 && usualPrefill > 0 {
		x.lasting.Prefill = slowness(x.lasting.Prefill, prefill/usualPrefill)
	}
	if event > 0 && usualEvent > 0 {
		x.lasting.Decode = slowness(x.lasting.Decode, event/usualEvent)
	}
}

// step returns the step of the grid for a measured ratio, or old if the ratio is within the band around it.
func step(old, ratio, band float64) float64 {
	if ratio < old*band && ratio > old/band {
		return old
	}
	// Hosts exchange hundredths.
	return bound(math.Round(100*math.Exp2(math.Round(math.Log2(ratio)*gridSteps)/gridSteps)) / 100)
}

// slowness returns the step for a ratio of measured times.
func slowness(old, ratio float64) float64 {
	switch {
	case ratio < usualBelow:
		return 1
	case ratio < slowFrom:
		return old
	}
	return step(old, ratio, slowFrom/usualBelow)
}

// Differs reports whether the lasting pace of a server differs from the usual one.
func (s *Service) Differs() bool { return s.differs }

// Lasting returns the lasting pace of a server.
func (s *Service) Lasting(id string) Pace {
	if x := s.servers[id]; x != nil {
		return x.lasting
	}
	return Usual
}

// At returns the pace of a server at this moment: the lasting one, changed by its latest word as far as that still counts.
func (s *Service) At(now time.Time, id string) Pace {
	x := s.servers[id]
	if x == nil {
		return Usual
	}
	out := x.lasting
	age := now.Sub(x.wordAt)
	if x.word <= 0 || age < 0 || age >= wordLifetime {
		return out
	}
	// Without a usual word, that of the protocol is taken: 1.
	usual := cmp.Or(x.usualWord, cmp.Or(s.usualWord, 1)*x.lasting.Prefill)
	moment := min(max(x.word/usual, fastestMoment), slowestMoment)
	if moment <= wordBand && moment >= 1/wordBand {
		return out
	}
	moment = 1 + (moment-1)*(1-float64(age)/float64(wordLifetime))
	return Pace{out.Prefill * moment, out.Decode * moment}
}

// Batch returns how many requests a server of a lasting pace may run at once so that the interval between their events
// keeps to the gap target. A server that is as fast as usual may use all its slots.
func (s *Service) Batch(id string, slots int, gapTarget time.Duration) int {
	decode := s.Lasting(id).Decode
	if decode <= 1 || gapTarget <= 0 || s.eventTime <= 0 {
		return slots
	}
	share := gapShare * float64(gapTarget) / (float64(s.eventTime) * decode)
	return max(int(float64(slots)*min(max(share, minBatchShare), 1)), 1)
}

// Notices returns the servers whose lasting pace differs from the usual one, those that differ most first, with the news
// of other hosts about servers of which this host knows nothing itself.
func (s *Service) Notices() []Notice {
	byServer := maps.Clone(s.heard)
	for id, x := range s.servers {
		if x.known {
			delete(byServer, id)
			if x.lasting != Usual {
				byServer[id] = Notice{id, x.lasting, x.measuredAt}
			}
		}
	}
	out := slices.SortedFunc(maps.Values(byServer), func(a, b Notice) int {
		return cmp.Or(cmp.Compare(b.Pace.difference(), a.Pace.difference()), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxNotices)]
}

func (p Pace) difference() float64 {
	return max(math.Abs(math.Log2(p.Prefill)), math.Abs(math.Log2(p.Decode)))
}
