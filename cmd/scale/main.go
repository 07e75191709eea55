// Command scale is a scale test: it runs real controllers with thousands of hollow (simulated) workers on loopback and
// measures the resource usage of a controller in each role. Hollow workers send heartbeats but execute nothing.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"fieldhill/internal/scale"
)

// cli defines the commands of the program.
type cli struct {
	Run    runCmd    `cmd:"" help:"Run a profile and print the measurements."`
	Sweep  sweepCmd  `cmd:"" help:"Run a profile at several sizes, varying one parameter at a time."`
	Report reportCmd `cmd:"" help:"Print the tables of docs/CAPACITY.md from stored measurements."`
}

// commonFlags are the flags shared by the commands that run a profile.
//
//nolint:lll // a struct tag cannot be broken over lines
type commonFlags struct {
	Program string `default:"target/fieldhill" type:"path" help:"Path of the controller executable."`
	Dir     string `type:"path" help:"Directory for the controllers' settings and logs; a new temporary directory by default."`
	Net     int    `default:"10" help:"Second byte of the first region's loopback addresses; concurrent runs need different values."`
}

// options validates the flags, and creates a temporary directory if none is given.
func (c *commonFlags) options() (scale.Options, error) {
	if _, err := os.Stat(c.Program); errors.Is(err, fs.ErrNotExist) {
		return scale.Options{}, fmt.Errorf("program: %s does not exist; build it as described in README.md", c.Program)
	}
	if c.Net < 1 || c.Net > 200 {
		return scale.Options{}, errors.New("net must be from 1 to 200")
	}
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "fieldhill-scale-"); err != nil {
			return scale.Options{}, err
		}
	}
	return scale.Options{
		Program:      c.Program,
		Dir:          dir,
		FirstNetByte: c.Net,
		OnProgress:   func(s string) { fmt.Println(s) },
	}, nil
}

// runCmd runs one profile.
type runCmd struct {
	commonFlags
	Profile string `arg:"" type:"existingfile" help:"Profile file (TOML), see deploy/scale."`
	JSON    string `name:"json" type:"path" help:"File to which the report is also written as JSON."`
}

// Run runs the profile and prints the report. It returns an error if the report has violations of the protocol's rules.
func (c *runCmd) Run(ctx context.Context) error {
	profile, err := scale.LoadProfile(c.Profile)
	if err != nil {
		return fmt.Errorf("load profile %s: %w", c.Profile, err)
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	report, err := scale.Run(ctx, profile, options)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, report); err != nil {
			return err
		}
	}
	if len(report.Violations) > 0 {
		return fmt.Errorf("run %s: %d violations of the protocol's rules", c.Profile, len(report.Violations))
	}
	return nil
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

func main() {
	var c cli
	description := "Run fieldhill controllers with simulated workers on loopback and measure their resource usage."
	parser := kong.Parse(&c, kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}

// sweepCmd runs a profile at several sizes.
type sweepCmd struct {
	commonFlags
	Sweep string `arg:"" type:"existingfile" help:"Sweep file (TOML), see deploy/scale/sweep.toml."`
	Only  string `help:"Run only the series that varies this parameter."`
	Out   string `required:"" type:"path" help:"File to which one line of JSON is appended for each run."`
}

// Run executes the runs of the sweep. Each measurement is written as soon as its run ends, so that an error in a later
// run does not lose it.
func (c *sweepCmd) Run(ctx context.Context) (err error) {
	sweep, err := scale.LoadSweep(c.Sweep)
	if err != nil {
		return fmt.Errorf("load sweep %s: %w", c.Sweep, err)
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	options.OnProgress = nil
	f, err := os.OpenFile(c.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	encoder := json.NewEncoder(f)
	return sweep.Run(ctx, options, c.Only, func(measurement scale.Measurement, report *scale.Report) error {
		region := &report.Regions[0]
		fmt.Printf("%s: leader %.3f of a core, others %.3f, %.0f starts/s, %d rules broken %s\n",
			measurement.Run, region.Leader.CPU, region.Others.CPU, region.StartsPerS,
			measurement.Violations, measurement.HostBottleneck)
		return encoder.Encode(measurement)
	})
}

// reportCmd prints the tables of docs/CAPACITY.md, computed from stored measurements.
type reportCmd struct {
	Dir   string `default:"docs/scale" type:"existingdir" help:"Directory of the stored measurements."`
	Sweep string `default:"deploy/scale/sweep.toml" type:"existingfile" help:"Sweep file of the measurements."`
}

// Run computes the tables and prints them.
func (c *reportCmd) Run() error {
	text, err := scale.CapacityTables(c.Dir, c.Sweep)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}
