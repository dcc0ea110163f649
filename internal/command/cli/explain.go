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

	"shallotramp/internal/ops/explain"
)

// hostTimeout bounds one call to a host's operators' listener.
const hostTimeout = 5 * time.Second

// maxHostAnswer bounds the answer of a host.
const maxHostAnswer = 16 << 20

// HostFlags name the operators' listeners of hosts.
type HostFlags struct {
	Hosts []string `help:"Base URLs of hosts' operators' listeners." required:"" env:"SHALLOTRAMP_HOSTS"`
}

// ask gets path from a host. A 404 gives found false.
func ask(ctx context.Context, base, path string, out any) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+path, nil)
	if err != nil {
		return false, errors.Wrap(err, "name hosts as http://IP:PORT")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.Wrapf(err, "host %s does not answer", base)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if res.StatusCode != http.StatusOK {
		return false, errors.Newf("host %s answered %s", base, res.Status)
	}
	return true, json.NewDecoder(io.LimitReader(res.Body, maxHostAnswer)).Decode(out)
}

// ExplainCommand shows the decisions taken for one request.
type ExplainCommand struct {
	HostFlags
	Request string `arg:"" help:"The request's id, from X-Request-Id of its answer."`
}

// Run implements the command.
func (c *ExplainCommand) Run(g *Globals) error {
	var failed error
	for _, base := range c.Hosts {
		var s explain.Explanation
		found, err := ask(g.ctx, base, "/explain/"+c.Request, &s)
		failed = errors.CombineErrors(failed, err)
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
	if failed != nil {
		return failed
	}
	return errors.New("no host remembers the request; ask soon after it, and name all hosts with --hosts")
}
