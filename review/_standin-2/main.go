// Command standin runs the cases 6 to 10 of the review: it starts hosts of the deploy file as processes, with stand-ins of
// the platform, the runners and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name. A case returns true if the rule was broken. The parameter trouble is false for a run without
// the disruption.
var cases = map[string]func(r *recorder, trouble bool) (broken bool){
	"changes": changes,
	"crash":   crash,
	"heads":   heads,
	"options": options,
	"unread":  unread,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		return serveRunner(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = f.Close() }()
	r := &recorder{f: f, start: time.Now()}
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			r.line("the case could not run: %v", c.error)
			fmt.Fprintln(os.Stderr, "the case could not run:", c.error)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %t", os.Args[1], trouble)
	if cases[os.Args[1]](r, trouble) {
		r.line("the rule was broken")
		return 1
	}
	r.line("the rule held")
	return 0
}
