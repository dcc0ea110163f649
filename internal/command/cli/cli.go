// Package cli implements the command line of shallotramp. Each command is a struct that
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

// The exit codes. Failed also stands for a rejected change, Usage for wrong arguments.
const (
	Done ExitCode = iota
	Failed
	Usage
)

// Globals are the flags of all commands.
type Globals struct {
	Output   string `help:"Output format." enum:"table,json" default:"table" env:"SHALLOTRAMP_OUTPUT"`
	LogLevel string `help:"Lowest level of log events to write." enum:"debug,info,warn,error" default:"info" env:"SHALLOTRAMP_LOG_LEVEL"`

	ctx context.Context
	// reload receives SIGHUP, on which some commands reload their settings.
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

// json writes v to stdout as one line of JSON.
func (g *Globals) json(v any) error { return json.NewEncoder(g.stdout).Encode(v) }

// isJSON reports whether the output format is JSON.
func (g *Globals) isJSON() bool { return g.Output == "json" }

// Commands holds the flags and commands of the command line.
type Commands struct {
	Globals

	Serve      ServeCommand      `cmd:"" help:"Run an entry host."`
	Edge       EdgeCommand       `cmd:"" help:"Run a host on the users' platform, with the platform's settings file."`
	Check      CheckCommand      `cmd:"" help:"Validate a whole set of objects offline."`
	Publish    PublishCommand    `cmd:"" help:"Validate a whole set of objects and publish it as the next release."`
	Get        GetCommand        `cmd:"" help:"Print objects of a release, in a format that can be published again."`
	Diff       DiffCommand       `cmd:"" help:"Show the differences between files and a release, or between two releases."`
	History    HistoryCommand    `cmd:"" help:"List the releases."`
	Status     StatusCommand     `cmd:"" help:"Show in which zones the newest release is in force, and which hosts are late."`
	Usage      UsageCommand      `cmd:"" help:"Show usage windows with their states, figures and differences from the reports."`
	Key        KeyCommand        `cmd:"" help:"Grant and withdraw keys."`
	Explain    ExplainCommand    `cmd:"" help:"Show the decisions made for one request."`
	Suspects   SuspectsCommand   `cmd:"" help:"List requests that are marked as crashing backend servers, and lift such marks."`
	Load       LoadCommand       `cmd:"" help:"Send open-loop traffic from a workload profile and report the results."`
	Experiment ExperimentCommand `cmd:"" help:"Simulate load patterns with several policies in virtual time and compare the results."`
	Soak       SoakCommand       `cmd:"" help:"Run hosts as processes under random faults and check invariants."`
	Demo       DemoCommand       `cmd:"" help:"Run a whole deployment in one process, with stand-ins for outside systems."`
	Settings   SettingsCommand   `cmd:"" hidden:"" help:"Write the reference page of all settings."`
	Standin    StandinCommand    `cmd:"" help:"Run a stand-in for an outside system, for trials and tests."`
}

func init() {
	zerolog.TimestampFieldName = "Time"
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel the context of the command.
func Main(args []string, stdout, stderr io.Writer) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// SIGHUP is caught from the start, as its default action would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var c Commands
	exitCode := -1
	p, err := kong.New(&c,
		kong.Name("shallotramp"),
		kong.Description("Routes language-model traffic with service levels and priorities.\n\nExit codes: 0 done, 1 rejected or failed, 2 usage error."),
		kong.UsageOnError(), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(stderr, "shallotramp:", err)
		return Usage
	}
	k, err := p.Parse(args)
	if exitCode >= 0 {
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
