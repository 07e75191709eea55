// Command devcluster runs a development cluster on one machine: it emulates the key-value store, the cloud, the agents
// and the load balancer on loopback, runs three controllers as separate processes, restarts them when they exit, as the
// platform would, and checks the protocol's invariants. The emulated machines execute nothing.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/supervisor"
)

const (
	controllerCount = 3
	restartDelay    = 5 * time.Second
	statusInterval  = 5 * time.Second
)

// Offsets of ports from the --port flag. If each controller or worker has a port, the offset is that of the first one.
const (
	loadBalancerOffset = 0
	userAPIOffset      = 1
	storeOffset        = 10
	cloudOffset        = 11
	peerOffset         = 21
	metricsOffset      = 31
	adminOffset        = 41
	workerOffset       = 100
)

// maxPort is the highest value of --port. Ports up to 65535 remain for the offsets.
const maxPort = 60000

// cli defines the command-line flags.
//
//nolint:lll // a struct tag cannot be broken over lines
type cli struct {
	Program string `default:"target/fieldhill" type:"path" help:"Path of the controller executable."`
	Dir     string `type:"path" help:"Directory for the controllers' settings and logs; a new temporary directory by default."`
	Port    int    `default:"8080" help:"Port of the user API on 127.0.0.1; the next hundred ports, and one more for each provisioned machine, are used as well."`
	Seed    uint64 `default:"1" help:"Random seed of the emulators."`
}

// Validate checks the flags. It is called by kong after parsing.
func (c *cli) Validate() error {
	if c.Port < 1 || c.Port > maxPort {
		return errors.New("port must be from 1 to 60000")
	}
	return nil
}

func main() {
	var c cli
	description := "Run a fieldhill development cluster on loopback: three controllers with an emulated platform."
	parser := kong.Parse(&c, kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(c.run(ctx))
}

// run runs the cluster until the context ends or a controller can't be started.
func (c *cli) run(ctx context.Context) error {
	if _, err := os.Stat(c.Program); errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s does not exist; build it as described in README.md", c.Program)
	}
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "fieldhill-devcluster-")
		if err != nil {
			return err
		}
		c.Dir = dir
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	environment, err := c.newEnvironment(ctx, cancel)
	if err != nil {
		return err
	}
	if err := environment.ServeBalancer(ctx, c.addr(loadBalancerOffset)); err != nil {
		return err
	}
	for i := range controllerCount {
		environment.Start(i) //nolint:contextcheck // the environment has the context
	}
	fmt.Printf("user API: %s; controller settings and logs: %s\n", c.addr(loadBalancerOffset), c.Dir)
	reportStatus(ctx, environment)
	for i := range controllerCount {
		environment.StopAndWait(i)
	}
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// addr returns the loopback address at an offset from the base port.
func (c *cli) addr(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.Port+offset))
}

// newEnvironment starts the emulated platform. Controllers that are started in the returned environment run as child
// processes; if one can't be started, cancel is called with the error.
func (c *cli) newEnvironment(ctx context.Context, cancel context.CancelCauseFunc) (*emulator.Environment, error) {
	metricsAddrs, adminAddrs := map[string]string{}, map[string]string{}
	for i := range controllerCount {
		name := emulator.ControllerName(i)
		metricsAddrs[name] = c.addr(metricsOffset + i)
		adminAddrs[name] = c.addr(adminOffset + i)
	}
	controllers := &supervisor.Supervisor{
		Executable:   c.Program,
		Dir:          c.Dir,
		RestartDelay: restartDelay,
		OnEvent:      func(s string) { fmt.Println(s) },
	}
	start := func(ctx context.Context, _ host.Net, s *config.Settings) error {
		metricsAddr, adminAddr := metricsAddrs[s.Node], adminAddrs[s.Node]
		fmt.Printf("controller %s: metrics http://%s/metrics, admin API %s\n", s.Node, metricsAddr, adminAddr)
		if err := controllers.Run(ctx, s, "--metrics", metricsAddr, "--operate", adminAddr); err != nil {
			cancel(err)
		}
		return nil
	}
	addresses := emulator.Addresses{
		Store:  c.addr(storeOffset),
		Cloud:  c.addr(cloudOffset),
		Users:  func(i int) string { return c.addr(userAPIOffset + i) },
		Peers:  func(i int) string { return c.addr(peerOffset + i) },
		Worker: func(i int) string { return c.addr(workerOffset + i) },
	}
	networkOf := func(string) host.Net { return host.TCP{} }
	return emulator.NewOnNetwork(ctx, networkOf, addresses, controllerCount, c.Seed, start)
}

// reportStatus prints the state of the environment every statusInterval, and each invariant violation once, until the
// context ends.
func reportStatus(ctx context.Context, environment *emulator.Environment) {
	printedViolations := 0
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		finished, accepted := environment.Checker.JobCounts()
		fmt.Printf("%d machines, %d tasks running; %d jobs accepted, %d finished\n",
			len(environment.Cloud.Workers()), environment.Checker.RunningTaskCount(), accepted, finished)
		violations := environment.Checker.Violations()
		for _, violation := range violations[printedViolations:] {
			fmt.Println("BROKEN RULE", violation)
		}
		printedViolations = len(violations)
	}
}
