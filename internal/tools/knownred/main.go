// Command knownred runs the tests as CI does. KNOWN-RED.txt lists tests that fail because of a known
// fault that is not fixed yet: they must fail, and all other tests must pass. So the list hides no
// other failure, and a test can't stay in it once its fault is fixed.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// options are the command's flags and arguments.
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
