// Command knownred runs the tests as CI does. Tests that KNOWN-RED.txt lists fail for a fault
// that is known and not mended yet: they must fail, and all others must pass. So a list can
// hide no other failure, and no line stays in it once its fault is mended.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// options are the command's arguments.
type options struct {
	File     string   `default:"KNOWN-RED.txt" help:"The list: a line each, \"package test, cause, issue number\". It may be missing."`
	Race     bool     `help:"Run the tests with the race detector."`
	Packages []string `arg:"" optional:"" default:"./..." help:"Packages to test."`
}

func main() {
	var o options
	cli := kong.Parse(&o, kong.Description("Runs the tests; those of the list must fail, all others must pass."))
	r := runner{dir: ".", race: o.Race, packages: o.Packages, stdout: os.Stdout, stderr: os.Stderr}
	cli.FatalIfErrorf(r.check(o.File))
}
