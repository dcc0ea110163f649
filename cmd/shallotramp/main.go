// Command shallotramp routes language-model traffic with service levels and priorities.
package main

import (
	"os"

	"shallotramp/internal/command/cli"
)

func main() {
	os.Exit(int(cli.Main(os.Args[1:], os.Stdout, os.Stderr)))
}
