// Command scale runs real controllers among thousands of hollow workers, which send heartbeats and run nothing, on
// loopback, and measures what each role of a controller costs. It is no deployment.
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

// cli has a field for each command.
type cli struct {
	Run    runCmd    `cmd:"" help:"Carry out a profile and print what it measured."`
	Sweep  sweepCmd  `cmd:"" help:"Carry out a profile at several sizes, one thing changed at a time."`
	Report reportCmd `cmd:"" help:"Print the tables of docs/CAPACITY.md from stored measurements."`
}

// commonFlags are the flags of all commands that run something.
//
//nolint:lll // a struct tag cannot be broken over lines
type commonFlags struct {
	Program string `default:"target/fieldhill" type:"path" help:"The controller's program."`
	Dir     string `type:"path" help:"Where the controllers' settings and logs are written; a new directory by default."`
	Net     int    `default:"10" help:"Second byte of the loopback addresses of the first region; two runs at a time need different ones."`
}

// options checks the flags, and makes a directory if none is given.
func (c *commonFlags) options() (scale.Options, error) {
	if _, err := os.Stat(c.Program); errors.Is(err, fs.ErrNotExist) {
		return scale.Options{}, fmt.Errorf("program: %s is not built yet, see README.md", c.Program)
	}
	if c.Net < 1 || c.Net > 200 {
		return scale.Options{}, errors.New("net: not from 1 to 200")
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

// runCmd carries out one profile.
type runCmd struct {
	commonFlags
	Profile string `arg:"" type:"existingfile" help:"What to run, see deploy/scale."`
	JSON    string `name:"json" type:"path" help:"Where the report is written as well."`
}

// Run carries out the command.
func (c *runCmd) Run(ctx context.Context) error {
	profile, err := scale.LoadProfile(c.Profile)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Profile, err)
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
		return fmt.Errorf("%d rules were broken", len(report.Violations))
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
	description := "Run fieldhill's controllers among hollow workers on loopback, and measure what each role costs."
	k := kong.Parse(&c, kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// sweepCmd carries out a profile at several sizes.
type sweepCmd struct {
	commonFlags
	Sweep string `arg:"" type:"existingfile" help:"What to vary, see deploy/scale/sweep.toml."`
	Only  string `help:"Only the series that varies this."`
	Out   string `required:"" type:"path" help:"Where one line of JSON is added for each run."`
}

// Run carries out the command. What was measured before an error is in the file.
func (c *sweepCmd) Run(ctx context.Context) (err error) {
	sweep, err := scale.LoadSweep(c.Sweep)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Sweep, err)
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
			measurement.Violations, measurement.MachineLimit)
		return encoder.Encode(measurement)
	})
}

// reportCmd prints the tables of docs/CAPACITY.md.
type reportCmd struct {
	Dir   string `default:"docs/scale" type:"existingdir" help:"Where measurements are stored."`
	Sweep string `default:"deploy/scale/sweep.toml" type:"existingfile" help:"The sweep that they are of."`
}

// Run carries out the command.
func (c *reportCmd) Run() error {
	text, err := scale.CapacityTables(c.Dir, c.Sweep)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}
