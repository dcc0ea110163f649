package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/ops/decisionlog"
)

// hostTimeout bounds one request to a host's listener for operators.
const hostTimeout = 5 * time.Second

// maxHostResponseBytes is the largest response that is read from a host.
const maxHostResponseBytes = 16 << 20

// HostFlags name the hosts' listeners for operators.
type HostFlags struct {
	Hosts []string `help:"Base URLs of the hosts' listeners for operators." required:"" env:"SHALLOTRAMP_HOSTS"`
}

// getFromHost requests path from a host and decodes the response into out. It returns found false for status 404.
func getFromHost(ctx context.Context, base, path string, out any) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+path, nil)
	if err != nil {
		return false, errors.Wrap(err, "the host's URL is invalid; use http://IP:PORT")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.Wrapf(err, "request to host %s failed; check that the host runs", base)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if res.StatusCode != http.StatusOK {
		return false, errors.Newf("host %s responded with status %s", base, res.Status)
	}
	return true, json.NewDecoder(io.LimitReader(res.Body, maxHostResponseBytes)).Decode(out)
}

// ExplainCommand shows the decisions made for one request.
type ExplainCommand struct {
	HostFlags
	Request string `arg:"" help:"ID of the request, from the header X-Request-Id of its response."`
}

// Run implements the command.
func (c *ExplainCommand) Run(g *Globals) error {
	var hostErrs error
	for _, base := range c.Hosts {
		var s decisionlog.Explanation
		found, err := getFromHost(g.ctx, base, "/explain/"+c.Request, &s)
		hostErrs = errors.CombineErrors(hostErrs, err)
		if !found {
			continue
		}
		if g.isJSON() {
			return g.json(s)
		}
		fmt.Fprintf(g.stdout, "request %s of %s, class %s, route %s\n", s.ID, s.Organisation, s.Class, s.Route)
		for _, st := range s.Steps {
			fmt.Fprintf(g.stdout, "%s  %-10s %s\n", st.At.Format("15:04:05.000"), st.What, st.Detail)
		}
		return nil
	}
	if hostErrs != nil {
		return hostErrs
	}
	return errors.New("no host has a record of the request; hosts keep recent requests only: run explain soon after the request and list all hosts with --hosts")
}
