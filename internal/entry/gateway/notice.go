package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Response headers in which a backend server says something about itself. All are optional.
const (
	// rateHeader is the number of requests per second that the server takes from all hosts together.
	rateHeader = "X-Request-Rate-Limit"
	// leavingHeader is set to 1 by a server that will stop.
	leavingHeader = "X-Leaving"
	// retryAfterHeader is the number of seconds for which a server that responds with 429 or 503 takes no request of this
	// host.
	retryAfterHeader = "Retry-After"
	// maxRetryAfter bounds that time.
	maxRetryAfter = time.Hour
)

// reportNotice passes what a server says about itself to the dispatcher. A server that had a limit and names none any more
// says something too.
func (g *Gateway) reportNotice(c *call, resp *http.Response) {
	n := dispatch.Notice{Server: c.attempt.Server, SentAt: c.sentAt, At: time.Now(), Leaving: resp.Header.Get(leavingHeader) == "1"}
	if rate, ok := parseAmount(resp.Header.Get(rateHeader)); ok {
		n.Limited, n.Rate = true, rate
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		if seconds, ok := parseAmount(resp.Header.Get(retryAfterHeader)); ok {
			n.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	}
	if n.Limited || c.attempt.Limited || n.Leaving || n.RetryAfter > 0 {
		g.dispatcher.Notice(n)
	}
}

// parseAmount parses a finite number that is not negative.
func parseAmount(s string) (n float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 1)
}
