// Command plot draws growth curves from the results of bench/run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// curve is one picture: a benchmark's metric over the number in the name of its sub-benchmarks.
type curve struct {
	pkg, benchmark, metric, file, title, x, y string
	// scale multiplies the metric.
	scale float64
}

var curves = []curve{
	{"internal/catalog/release", "BenchmarkAdopt", "ns/op", "adopt.png", "Adoption of a release by a host", "Organisations", "Milliseconds", 1e-6},
	{"internal/catalog/release", "BenchmarkPublish", "ns/op", "publish.png", "Publication of one changed key", "Organisations", "Milliseconds", 1e-6},
	{"internal/traffic/scheduler", "BenchmarkDecision", "ns/op", "decision.png", "Decisions of one request", "Backend servers", "Microseconds", 1e-3},
}

// line is one result of a benchmark.
type line struct {
	pkg     string
	name    string
	size    float64
	metrics map[string]float64
}

var number = regexp.MustCompile(`\d+`)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "plot: usage: plot RESULTS FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "plot:", err)
		os.Exit(1)
	}
}

func run(results, folder string) error {
	lines, err := read(results)
	if err != nil {
		return err
	}
	for _, c := range curves {
		if err := draw(c, lines, filepath.Join(folder, c.file)); err != nil {
			return err
		}
	}
	return nil
}

// read returns the results in the text format of go test.
func read(file string) ([]line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []line
	pkg := ""
	s := bufio.NewScanner(f)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if strings.HasPrefix(s.Text(), "# go test") {
			pkg = strings.TrimPrefix(fields[len(fields)-1], "./")
		}
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name, sub, ok := strings.Cut(fields[0], "/")
		if !ok {
			continue
		}
		size, err := strconv.ParseFloat(number.FindString(sub), 64)
		if err != nil {
			continue
		}
		l := line{pkg: pkg, name: name, size: size, metrics: map[string]float64{}}
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				l.metrics[fields[i+1]] = v
			}
		}
		out = append(out, l)
	}
	return out, s.Err()
}

func draw(c curve, lines []line, file string) error {
	var pts plotter.XYs
	for _, l := range lines {
		if v, ok := l.metrics[c.metric]; ok && l.name == c.benchmark && l.pkg == c.pkg {
			pts = append(pts, plotter.XY{X: l.size, Y: v * c.scale})
		}
	}
	if len(pts) == 0 {
		return fmt.Errorf("no results of %s; run bench/run", c.benchmark)
	}
	sort.Slice(pts, func(i, j int) bool { return pts[i].X < pts[j].X })
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	p.Y.Min = 0
	s, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), s)
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}
