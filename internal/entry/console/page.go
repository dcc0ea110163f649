package console

import (
	_ "embed"
	"html/template"
	"net/http"

	"github.com/labstack/echo/v4"

	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/ops/event"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// Pool is the state of one pool of backend servers as the host knows it.
type Pool struct {
	Name string
	// Servers is the number of configured servers, Reclaimable how many of them are reclaimable.
	Servers, Reclaimable int
	// Outstanding is the number of this host's requests that run on the pool. Capacity is the number of requests
	// that all servers of the pool together run well at once.
	Outstanding, Capacity int
}

// Page is the content of the status page.
type Page struct {
	Status  Status
	Classes []gateway.ClassStats
	Members []membership.Member
	Pools   []Pool
	Events  []event.Event
}

// servePage serves the status page: the host, its zone and the fleet.
func (c *Console) servePage(ec echo.Context) error {
	w := ec.Response()
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(http.StatusOK)
	return pageTemplate.Execute(w, c.Page())
}
