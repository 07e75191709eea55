// Command devcluster tries fieldhill out on one machine: it emulates the key-value store, the cloud, the agents and the
// load balancer on loopback, starts three controllers as processes of their own, starts them again when they end, as
// the platform would, and checks that they keep the protocol's rules. It is no deployment: its machines run nothing.
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

// Ports, counted from the users' one; of those with more than one address the first.
const (
	balancerOffset = 0
	usersOffset    = 1
	storeOffset    = 10
	cloudOffset    = 11
	peersOffset    = 21
	metricsOffset  = 31
	adminOffset    = 41
	workersOffset  = 100
	maxPort        = 60000
)

// cli are the flags.
//
//nolint:lll // a struct tag cannot be broken over lines
type cli struct {
	Program string `default:"target/fieldhill" type:"path" help:"The controller's program."`
	Dir     string `type:"path" help:"Where the controllers' settings and logs are written; a new directory by default."`
	Port    int    `default:"8080" help:"Users' port on 127.0.0.1; the hundred ports above it, and one for each machine rented, are used as well."`
	Seed    uint64 `default:"1" help:"For what the stand-ins leave to chance."`
}

// Validate is called by kong when the flags are read.
func (c *cli) Validate() error {
	if c.Port < 1 || c.Port > maxPort {
		return errors.New("port must be from 1 to 60000")
	}
	return nil
}

func main() {
	var c cli
	description := "Try fieldhill out: three controllers and stand-ins for everything else, on loopback."
	k := kong.Parse(&c, kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(c.run(ctx))
}

// run runs the cluster until the context ends.
func (c *cli) run(ctx context.Context) error {
	if _, err := os.Stat(c.Program); errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s is not built yet, see README.md", c.Program)
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
	if err := environment.ServeBalancer(ctx, c.addr(balancerOffset)); err != nil {
		return err
	}
	for i := range controllerCount {
		environment.Start(i) //nolint:contextcheck // the environment has the context
	}
	fmt.Printf("users: %s; the controllers' settings and logs: %s\n", c.addr(balancerOffset), c.Dir)
	reportStatus(ctx, environment)
	for i := range controllerCount {
		environment.Crash(i)
	}
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// addr is the loopback address so many ports above the users' one.
func (c *cli) addr(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.Port+offset))
}

// newEnvironment emulates everything but the controllers, which it runs as processes. It cancels the context with the
// error if one can't be started.
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
		fmt.Printf("counters of %s: http://%s/metrics; its operators: %s\n", s.Node, metricsAddr, adminAddr)
		if err := controllers.Run(ctx, s, "--metrics", metricsAddr, "--operate", adminAddr); err != nil {
			cancel(err)
		}
		return nil
	}
	addresses := emulator.Addresses{
		Store:  c.addr(storeOffset),
		Cloud:  c.addr(cloudOffset),
		Users:  func(i int) string { return c.addr(usersOffset + i) },
		Peers:  func(i int) string { return c.addr(peersOffset + i) },
		Worker: func(i int) string { return c.addr(workersOffset + i) },
	}
	networkOf := func(string) host.Net { return host.TCP{} }
	return emulator.NewOnNetwork(ctx, networkOf, addresses, controllerCount, c.Seed, start)
}

// reportStatus prints the state of the environment every statusInterval, and each violation once, until the context
// ends.
func reportStatus(ctx context.Context, environment *emulator.Environment) {
	printed := 0
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		finished, accepted := environment.Checker.Finished()
		fmt.Printf("%d machines, %d tasks on them; %d jobs accepted, %d known to be over\n",
			len(environment.Cloud.Workers()), environment.Checker.Tasks(), accepted, finished)
		violations := environment.Checker.Violations()
		for _, violation := range violations[printed:] {
			fmt.Println("BROKEN RULE", violation)
		}
		printed = len(violations)
	}
}
