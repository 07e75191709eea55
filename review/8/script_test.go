// Package case8 runs the script of this folder as a test, if asked to.
package case8

import (
	"errors"
	"flag"
	"os"
	"os/exec"
	"testing"
)

var runScript = flag.Bool("script", false, "run run.sh")

// exitNotRun is the exit code of a script that couldn't run.
const exitNotRun = 2

// TestScript fails if the script shows that the rule was broken.
func TestScript(t *testing.T) {
	if !*runScript {
		t.Skip("run with -args -script, after the build of the deploy file and review/build-2.sh")
	}
	command := exec.Command("./run.sh")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == exitNotRun:
		t.Skip("the case couldn't run")
	default:
		t.Fatal(err)
	}
}
