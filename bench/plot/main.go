// Command plot draws the results of bench/run as scatter plots over the size of the input.
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

// curve describes one plot: a metric of a benchmark over the number in the names of its sub-benchmarks.
type curve struct {
	pkg, benchmark, metric, file, title, x, y string
	// scale is the factor from the unit of the metric to that of the y axis.
	scale float64
}

var curves = []curve{
	{"internal/catalog/release", "BenchmarkAdopt", "ns/op", "adopt.png", "Adoption of a release by a host", "Organisations", "Milliseconds", 1e-6},
	{"internal/catalog/release", "BenchmarkPublish", "ns/op", "publish.png", "Publication of one changed key", "Organisations", "Milliseconds", 1e-6},
	{"internal/traffic/scheduler", "BenchmarkDecision", "ns/op", "decision.png", "Decisions of one request", "Backend servers", "Microseconds", 1e-3},
}

// result is the result of one sub-benchmark. The size is the number in its name.
type result struct {
	pkg     string
	name    string
	size    float64
	metrics map[string]float64
}

var numberPattern = regexp.MustCompile(`\d+`)

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

func run(resultsFile, folder string) error {
	results, err := readResults(resultsFile)
	if err != nil {
		return err
	}
	for _, c := range curves {
		if err := draw(c, results, filepath.Join(folder, c.file)); err != nil {
			return err
		}
	}
	return nil
}

// readResults parses results in the text format of go test. It skips benchmarks without a number in their name.
func readResults(file string) ([]result, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []result
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
		size, err := strconv.ParseFloat(numberPattern.FindString(sub), 64)
		if err != nil {
			continue
		}
		r := result{pkg: pkg, name: name, size: size, metrics: map[string]float64{}}
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				r.metrics[fields[i+1]] = v
			}
		}
		out = append(out, r)
	}
	return out, s.Err()
}

func draw(c curve, results []result, file string) error {
	var pts plotter.XYs
	for _, r := range results {
		if v, ok := r.metrics[c.metric]; ok && r.name == c.benchmark && r.pkg == c.pkg {
			pts = append(pts, plotter.XY{X: r.size, Y: v * c.scale})
		}
	}
	if len(pts) == 0 {
		return fmt.Errorf("the results file has no results of %s; run bench/run", c.benchmark)
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
