// Package cli is the command line of shallotramp. Each command is a struct that
// kong fills from flags and environment variables.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

//go:generate go tool stringer -type ExitCode -output cli_string.go

// ExitCode is the exit code of the command.
type ExitCode int

// The exit codes.
const (
	Done ExitCode = iota
	Failed
	Usage
)

// Globals are the flags of all commands.
type Globals struct {
	Output   string `help:"Form of the output." enum:"table,json" default:"table" env:"SHALLOTRAMP_OUTPUT"`
	LogLevel string `help:"Least severe log event that is written." enum:"debug,info,warn,error" default:"info" env:"SHALLOTRAMP_LOG_LEVEL"`

	ctx context.Context
	// reload receives SIGHUP, for the commands that read their settings again.
	reload chan os.Signal
	stdout io.Writer
	stderr io.Writer
}

func (g *Globals) logger() zerolog.Logger {
	level, err := zerolog.ParseLevel(g.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(g.stderr).Level(level).With().Timestamp().Logger()
}

// json writes v as one line.
func (g *Globals) json(v any) error { return json.NewEncoder(g.stdout).Encode(v) }

// isJSON reports whether programs read the output.
func (g *Globals) isJSON() bool { return g.Output == "json" }

// Commands is the command line.
type Commands struct {
	Globals

	Serve      ServeCommand      `cmd:"" help:"Run an entry host."`
	Edge       EdgeCommand       `cmd:"" help:"Run a host on the users' platform, from its settings file."`
	Check      CheckCommand      `cmd:"" help:"Check a whole set of objects offline."`
	Publish    PublishCommand    `cmd:"" help:"Check a whole set of objects and publish it as the next release."`
	Get        GetCommand        `cmd:"" help:"Print objects of a release, in the form in which they are published."`
	Diff       DiffCommand       `cmd:"" help:"Show what differs between files and a release, or between two releases."`
	History    HistoryCommand    `cmd:"" help:"List the releases."`
	Status     StatusCommand     `cmd:"" help:"Show in which zones the release is in force, and what is late."`
	Usage      UsageCommand      `cmd:"" help:"Show usage windows, their states, figures and differences."`
	Key        KeyCommand        `cmd:"" help:"Grant and withdraw keys."`
	Explain    ExplainCommand    `cmd:"" help:"Show the decisions taken for one request."`
	Suspects   SuspectsCommand   `cmd:"" help:"List and lift the marks of requests that crash backend servers."`
	Load       LoadCommand       `cmd:"" help:"Offer open-loop traffic from a profile and report the measures."`
	Experiment ExperimentCommand `cmd:"" help:"Play load patterns with policies in virtual time and compare what callers get."`
	Soak       SoakCommand       `cmd:"" help:"Run hosts as processes under random faults and check what must hold."`
	Demo       DemoCommand       `cmd:"" help:"Run a whole deployment with stand-ins in one process."`
	Settings   SettingsCommand   `cmd:"" hidden:"" help:"Write the page of all settings."`
	Standin    StandinCommand    `cmd:"" help:"Run one stand-in of an outside system, for trials and tests."`
}

func init() {
	zerolog.TimestampFieldName = "Time"
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
}

// Main runs the command line and returns the exit code. The context ends on an interrupt.
func Main(args []string, stdout, stderr io.Writer) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Listened for from the first moment: unheard, the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var c Commands
	exited := -1
	p, err := kong.New(&c,
		kong.Name("shallotramp"),
		kong.Description("Routes language-model traffic with service levels and priorities.\n\nExit codes: 0 done, 1 refused or failed, 2 usage."),
		kong.UsageOnError(), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(stderr, "shallotramp:", err)
		return Usage
	}
	k, err := p.Parse(args)
	if exited >= 0 {
		return Done
	}
	if err != nil {
		fmt.Fprintf(stderr, "shallotramp: %v; see 'shallotramp --help'\n", err)
		return Usage
	}
	if !strings.HasPrefix(k.Command(), "edge") {
		signal.Reset(syscall.SIGHUP)
	}
	c.ctx, c.reload, c.stdout, c.stderr = ctx, reload, stdout, stderr
	if err := k.Run(&c.Globals, p); err != nil {
		fmt.Fprintln(stderr, "shallotramp:", err)
		return Failed
	}
	return Done
}
