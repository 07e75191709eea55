// Command fieldhill is a controller of the fieldhill cluster scheduler, and a
// small client for one.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"fieldhill/internal/config"
	"fieldhill/internal/controller"
	"fieldhill/internal/platform/host"
)

// cli has a field for each command.
type cli struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Run a controller (the default command)."`
	Check checkCmd `cmd:"" help:"Check a settings file and print what was understood."`

	Submit submitCmd `cmd:"" help:"Submit a job to a controller."`
	Status statusCmd `cmd:"" help:"Ask a controller how a job is."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job."`
	Why    whyCmd    `cmd:"" help:"Ask why a job waits, and which reason binds."`
	Queue  queueCmd  `cmd:"" help:"List the jobs that wait, in the order in which they are served."`
	Ready  readyCmd  `cmd:"" help:"Ask whether a controller takes requests."`

	Version versionCmd `cmd:"" help:"Print the version."`
}

// serveCmd runs a controller. The service's own flags complete the settings file, whose keys are the platform's.
//
//nolint:lll // a struct tag cannot be broken over lines
type serveCmd struct {
	Config         string        `required:"" help:"Settings file (TOML) of the platform." type:"existingfile"`
	LogLevel       string        `env:"LOG_LEVEL" default:"info" help:"How much to log: error, info or debug."`
	Beta           float64       `env:"FIELDHILL_BETA" default:"0.8" help:"DAD: weight of image locality against load, 0 to 1."`
	Threshold      float64       `env:"FIELDHILL_THRESHOLD" default:"0.5" help:"DAD: scores below it count as local."`
	WaitRounds     int           `env:"FIELDHILL_WAIT_ROUNDS" default:"2" help:"DAD: rounds a task may wait for a busy machine with its image."`
	Round          time.Duration `env:"FIELDHILL_ROUND" default:"2s" help:"DAD: length of a round."`
	Metrics        string        `env:"FIELDHILL_METRICS" placeholder:"HOST:PORT" help:"Where to serve a read-only page of counters and latencies (/metrics); none by default."`
	Operate        string        `env:"FIELDHILL_OPERATE" placeholder:"HOST:PORT" help:"Where to answer operators (fieldhill why, queue), or :PORT beside the users; nowhere by default."`
	SingletonRoles bool          `name:"duties" env:"FIELDHILL_DUTIES" help:"Have dealing with the cloud and cleaning up done by whichever controller does it best, each under a lease of its own, once all controllers have this; else the leader does it all."`
}

// Validate is called by kong when the flags are read.
func (s *serveCmd) Validate() error {
	switch {
	case !(s.Beta >= 0 && s.Beta <= 1):
		return fmt.Errorf("beta must be from 0 to 1")
	case !(s.Threshold >= 0 && s.Threshold <= 2):
		return fmt.Errorf("threshold must be from 0 to 2")
	case s.WaitRounds < 0 || s.WaitRounds > 1000:
		return fmt.Errorf("wait-rounds must be from 0 to 1000")
	case s.Round < 50*time.Millisecond || s.Round > time.Minute:
		return fmt.Errorf("round must be from 50ms to 1m")
	}
	for _, flag := range []struct{ name, addr string }{
		{"metrics", s.Metrics},
		{"operate", withHost(s.Operate, "0.0.0.0:0")},
	} {
		if _, err := netip.ParseAddrPort(flag.addr); flag.addr != "" && err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", flag.name, flag.addr)
		}
	}
	_, err := parseLevel(s.LogLevel)
	return err
}

// withHost puts the host of another address before an address that is only a port.
func withHost(addr, hostAddr string) string {
	if host, _, err := net.SplitHostPort(hostAddr); err == nil && strings.HasPrefix(addr, ":") {
		return host + addr
	}
	return addr
}

func parseLevel(s string) (slog.Level, error) {
	switch strings.ToLower(s) {
	case "error":
		return slog.LevelError, nil
	case "info", "":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("log level %q is none of error, info, debug", s)
}

// Run runs a controller until the process is ended.
func (s *serveCmd) Run() error {
	settings, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	logLevel, _ := parseLevel(s.LogLevel)
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel}))
	// The heap must stay well below the machine's limit, which counts everything.
	debug.SetMemoryLimit(int64(settings.Params.Limits.MemoryMB * 0.55 * (1 << 20)))
	if share := settings.Params.Limits.CPUShare; share < 1.5 {
		runtime.GOMAXPROCS(1) // threads beyond the share only cost switches
	}
	return controller.New(host.TCP{}, settings, controller.Options{
		Beta:           s.Beta,
		Threshold:      s.Threshold,
		WaitRounds:     s.WaitRounds,
		RoundInterval:  s.Round,
		MetricsAddr:    s.Metrics,
		AdminAddr:      withHost(s.Operate, settings.Bind),
		SingletonRoles: s.SingletonRoles,
	}, logger).Run(context.Background())
}

// checkCmd reads a settings file and prints it as the controller understands it.
type checkCmd struct {
	File string `arg:"" help:"Settings file (TOML)." type:"existingfile"`
}

// Run carries out the command.
func (c *checkCmd) Run() error {
	settings, err := config.Load(c.File)
	if err != nil {
		return err
	}
	printSettings(settings)
	return nil
}

func printSettings(s *config.Settings) {
	fmt.Printf("node %s in zone %s, users at %s, controllers at %s\n", s.Node, s.Zone, s.Bind, s.PeerListen)
	for _, m := range s.Members {
		fmt.Printf("member %s in zone %s at %s\n", m.Node, m.Zone, m.Addr)
	}
	for _, t := range s.Params.Teams {
		fmt.Printf("team %s: %g CPUs and %g GPUs guaranteed, at most %s CPUs and %s GPUs\n",
			t.Name, t.CPUs, t.GPUs, formatLimit(t.CPUsMax), formatLimit(t.GPUsMax))
	}
	for _, o := range s.Params.Objectives {
		fmt.Printf("objective %s %s: %.4g%% within %g s\n", o.Kind, o.Class, 100*o.Share, o.WithinS)
	}
	workers := &s.Params.Workers
	fmt.Printf("workers: report every %g s, lease %g s, cancelled within %g s; "+
		"leases kept without a leader for at most %v\n",
		workers.HeartbeatS, workers.LeaseS, workers.CancelS, s.StaleRenewalLimit())
}

// formatLimit spells a team's limit, of which 0 stands for none.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "any number of"
	}
	return fmt.Sprintf("%g", limit)
}

// version is the latest entry of CHANGELOG.md.
const version = "0.4.0"

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version and, where the build knows it, the commit.
func (versionCmd) Run() error {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	_, err := fmt.Println("fieldhill " + version + revision)
	return err
}

func main() {
	var c cli
	ctx := kong.Parse(
		&c,
		kong.Name("fieldhill"),
		kong.Description("A cluster scheduler: decides what runs where, rents the machines, and answers the users."),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
