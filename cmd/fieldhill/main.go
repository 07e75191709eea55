// Command fieldhill runs a controller of the fieldhill cluster scheduler. Its other commands include clients of a
// controller's user API and admin API.
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

// cli defines the commands of the program.
type cli struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Run a controller (the default command)."`
	Check checkCmd `cmd:"" help:"Validate a settings file and print the parsed settings."`

	Submit submitCmd `cmd:"" help:"Submit a job to a controller."`
	Status statusCmd `cmd:"" help:"Show the status of a job."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job."`
	Why    whyCmd    `cmd:"" help:"Explain why a job is pending and which reasons are binding."`
	Queue  queueCmd  `cmd:"" help:"List the pending jobs in scheduling order."`
	Ready  readyCmd  `cmd:"" help:"Check whether a controller accepts requests."`

	Version versionCmd `cmd:"" help:"Print the version."`
}

// serveCmd runs a controller. Its flags supplement the settings file, whose keys are defined by the platform.
//
//nolint:lll // a struct tag cannot be broken over lines
type serveCmd struct {
	Config         string        `required:"" help:"Settings file (TOML) provided by the platform." type:"existingfile"`
	LogLevel       string        `env:"LOG_LEVEL" default:"info" help:"Log level: error, info or debug."`
	Beta           float64       `env:"FIELDHILL_BETA" default:"0.8" help:"DAD: weight of image locality against load, 0 to 1."`
	Threshold      float64       `env:"FIELDHILL_THRESHOLD" default:"0.5" help:"DAD: scores below this value count as local."`
	WaitRounds     int           `env:"FIELDHILL_WAIT_ROUNDS" default:"2" help:"DAD: max rounds to await a local machine."`
	Round          time.Duration `env:"FIELDHILL_ROUND" default:"2s" help:"DAD: interval between scheduling rounds."`
	Metrics        string        `env:"FIELDHILL_METRICS" placeholder:"HOST:PORT" help:"Listen address of the read-only metrics page (/metrics); disabled by default."`
	Operate        string        `env:"FIELDHILL_OPERATE" placeholder:"HOST:PORT" help:"Listen address of the admin API (fieldhill why, queue); :PORT uses the host of the user API; disabled by default."`
	SingletonRoles bool          `name:"duties" env:"FIELDHILL_DUTIES" help:"Assign the singleton roles (cloud provisioning and cleanup) to the best-suited controllers, each under its own lease, once all controllers set this flag; otherwise the leader holds them all."`
}

// Validate checks the flags. It is called by kong after parsing.
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
		{"operate", withDefaultHost(s.Operate, "0.0.0.0:0")},
	} {
		if _, err := netip.ParseAddrPort(flag.addr); flag.addr != "" && err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", flag.name, flag.addr)
		}
	}
	_, err := parseLogLevel(s.LogLevel)
	return err
}

// withDefaultHost completes an address of the form :PORT with the host of a default address.
func withDefaultHost(addr, defaultAddr string) string {
	if host, _, err := net.SplitHostPort(defaultAddr); err == nil && strings.HasPrefix(addr, ":") {
		return host + addr
	}
	return addr
}

func parseLogLevel(s string) (slog.Level, error) {
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

// Run runs a controller until the process is terminated.
func (s *serveCmd) Run() error {
	settings, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	logLevel, _ := parseLogLevel(s.LogLevel)
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel}))
	// memory_mb limits all memory of the process, not only that managed by the Go runtime, so the limit of the runtime
	// must be well below memory_mb.
	debug.SetMemoryLimit(int64(settings.Params.Limits.MemoryMB * 0.55 * (1 << 20)))
	if share := settings.Params.Limits.CPUShare; share < 1.5 {
		runtime.GOMAXPROCS(1) // more threads than the CPU share only cause context switches
	}
	return controller.New(host.TCP{}, settings, controller.Options{
		Beta:           s.Beta,
		Threshold:      s.Threshold,
		WaitRounds:     s.WaitRounds,
		RoundInterval:  s.Round,
		MetricsAddr:    s.Metrics,
		AdminAddr:      withDefaultHost(s.Operate, settings.Bind),
		SingletonRoles: s.SingletonRoles,
	}, logger).Run(context.Background())
}

// checkCmd validates a settings file and prints the parsed settings.
type checkCmd struct {
	File string `arg:"" help:"Settings file (TOML)." type:"existingfile"`
}

// Run loads the settings file and prints the parsed settings.
func (c *checkCmd) Run() error {
	settings, err := config.Load(c.File)
	if err != nil {
		return err
	}
	printSettings(settings)
	return nil
}

func printSettings(s *config.Settings) {
	fmt.Printf("node %s in zone %s, user API at %s, peer API at %s\n", s.Node, s.Zone, s.Bind, s.PeerListen)
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
	fmt.Printf("workers: heartbeat every %g s, lease %g s, cancellation within %g s; "+
		"leases renewed without a leader for at most %v\n",
		workers.HeartbeatS, workers.LeaseS, workers.CancelS, s.StaleRenewalLimit())
}

// formatLimit formats a team's limit; 0 means unlimited.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "any number of"
	}
	return fmt.Sprintf("%g", limit)
}

// version must match the latest entry of CHANGELOG.md.
const version = "0.4.0"

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version and, if the build information has it, the commit.
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
		kong.Description("A cluster scheduler: places tasks, provisions machines and serves the user API."),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
