// Package console serves operators of one host: readiness, metrics, status and
// explanations. It listens apart from the callers' interface.
package console

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"shallotramp/internal/ops/explain"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

// Status is what a host tells of itself.
type Status struct {
	Host      string
	Zone      string
	Ready     bool
	Draining  bool
	Release   uint64
	Digest    string
	Confirmed time.Time
	Open      int
	Use       map[string]meter.Use
}

// Console serves one host's operators. Its fields are set before [Console.Handler] is called.
type Console struct {
	Status       func() Status
	Page         func() Page
	Explanations *explain.Book
	Metrics      *metrics.Set
	// ExtraHandlers adds handlers of other parts of the host by path.
	ExtraHandlers map[string]http.HandlerFunc
}

// Handler returns the handler of the operators' listener.
func (c *Console) Handler() http.Handler {
	e := echo.New()
	e.GET("/", c.servePage)
	e.GET("/live", func(ec echo.Context) error { return ec.NoContent(http.StatusOK) })
	e.GET("/ready", c.ready)
	e.GET("/status", func(ec echo.Context) error { return ec.JSON(http.StatusOK, c.Status()) })
	e.GET("/metrics", c.metrics)
	e.GET("/explain/:id", c.explain)
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	for path, h := range c.ExtraHandlers {
		e.Any(path, echo.WrapHandler(h))
	}
	return e
}

func (c *Console) ready(ec echo.Context) error {
	s := c.Status()
	if !s.Ready {
		return ec.JSON(http.StatusServiceUnavailable, s)
	}
	return ec.JSON(http.StatusOK, s)
}

func (c *Console) metrics(ec echo.Context) error {
	ec.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.Metrics.WritePrometheus(ec.Response())
	metrics.WriteProcessMetrics(ec.Response())
	return nil
}

func (c *Console) explain(ec echo.Context) error {
	s, ok := c.Explanations.Find(request.ID(ec.Param("id")))
	if !ok {
		return ec.JSON(http.StatusNotFound, struct{ Error string }{"this host does not remember the request; ask the host that took it, soon after"})
	}
	return ec.JSON(http.StatusOK, s)
}
