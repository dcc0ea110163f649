package console

import (
	_ "embed"
	"html/template"
	"net/http"

	"github.com/labstack/echo/v4"

	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/ops/event"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Pool is what the host knows of one pool of backend servers.
type Pool struct {
	Name string
	// Servers in the configuration, and how many of them are reclaimable.
	Servers, Reclaimable int
	// Outstanding counts this host's requests on the pool, Capacity what all its servers run well at once.
	Outstanding, Capacity int
}

// Page is the content of the status page.
type Page struct {
	Status  Status
	Classes []gateway.ClassStats
	Members []member.Member
	Pools   []Pool
	Events  []event.Event
}

// servePage shows the host, its zone and the fleet at a glance.
func (c *Console) servePage(ec echo.Context) error {
	w := ec.Response()
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(http.StatusOK)
	return page.Execute(w, c.Page())
}
