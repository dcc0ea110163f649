package main

import (
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"shallotramp/internal/command/cli"
	"shallotramp/internal/provider/fake"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shallotramp": func() { os.Exit(int(cli.Main(os.Args[1:], os.Stdout, os.Stderr))) },
	})
}

// TestScripts runs each script with its own fake of the platform.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			srv := httptest.NewServer(fake.NewStore().Handler())
			e.Defer(srv.Close)
			e.Setenv("SHALLOTRAMP_PLATFORM", srv.URL)
			return nil
		},
	})
}
