// Package console implements the HTTP interface for operators of one host of the
// serve command: readiness, metrics, status and explanations of requests. It has a
// listener of its own, apart from the callers'.
package console

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"shallotramp/internal/ops/decisionlog"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// Status is the state of a host.
type Status struct {
	Host      string
	Zone      string
	Ready     bool
	Draining  bool
	Release   uint64
	Digest    string
	Confirmed time.Time
	Open      int
	Use       map[string]meter.Usage
}

// Console serves the operators of one host. Its fields are set before [Console.Handler] is called.
type Console struct {
	Status      func() Status
	Page        func() Page
	DecisionLog *decisionlog.DecisionLog
	Metrics     *metrics.Set
	// ExtraHandlers holds the handlers of other components of the host, by path.
	ExtraHandlers map[string]http.HandlerFunc
}

// Handler returns the handler of the operators' listener.
func (c *Console) Handler() http.Handler {
	e := echo.New()
	e.GET("/", c.servePage)
	e.GET("/live", func(ec echo.Context) error { return ec.NoContent(http.StatusOK) })
	e.GET("/ready", c.serveReady)
	e.GET("/status", func(ec echo.Context) error { return ec.JSON(http.StatusOK, c.Status()) })
	e.GET("/metrics", c.serveMetrics)
	e.GET("/explain/:id", c.serveExplain)
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	for path, h := range c.ExtraHandlers {
		e.Any(path, echo.WrapHandler(h))
	}
	return e
}

func (c *Console) serveReady(ec echo.Context) error {
	s := c.Status()
	if !s.Ready {
		return ec.JSON(http.StatusServiceUnavailable, s)
	}
	return ec.JSON(http.StatusOK, s)
}

func (c *Console) serveMetrics(ec echo.Context) error {
	ec.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.Metrics.WritePrometheus(ec.Response())
	metrics.WriteProcessMetrics(ec.Response())
	return nil
}

func (c *Console) serveExplain(ec echo.Context) error {
	s, ok := c.DecisionLog.Find(request.ID(ec.Param("id")))
	if !ok {
		return ec.JSON(http.StatusNotFound, struct{ Error string }{"this host has no record of the request; ask the host that received it, soon after the request"})
	}
	return ec.JSON(http.StatusOK, s)
}
