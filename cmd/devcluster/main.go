// Command devcluster tries fieldhill out on one machine: it plays the state service, the cloud,
// the workers and the load balancer on loopback, starts three controllers as processes of
// their own, starts them again when they end, as the platform would, and watches that they
// keep the rules. It is no deployment: its machines run nothing.
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

type cli struct {
	Program string `default:"target/fieldhill" type:"path" help:"The controller's program."`
	Dir     string `type:"path" help:"Where the controllers' settings and logs are written; a new directory by default."`
	Port    int    `default:"8080" help:"Users' port on 127.0.0.1; the hundred ports above it, and one for each machine rented, are used as well."`
	Seed    uint64 `default:"1" help:"For what the stand-ins leave to chance."`
}

func (c *cli) Validate() error {
	if c.Port < 1 || c.Port > 60000 {
		return errors.New("port must be from 1 to 60000")
	}
	return nil
}

func main() {
	var c cli
	k := kong.Parse(
		&c,
		kong.Description("Try fieldhill out: three controllers and stand-ins for everything else, on loopback."),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(c.run(ctx))
}

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
	portAddr := func(k int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.Port+k)) }
	addresses := emulator.Addresses{
		Store: portAddr(10), Cloud: portAddr(11),
		Users:  func(i int) string { return portAddr(1 + i) },
		Peers:  func(i int) string { return portAddr(21 + i) },
		Worker: func(i int) string { return portAddr(100 + i) },
	}
	metricsAddrs, adminAddrs := map[string]string{}, map[string]string{}
	for i := range controllerCount {
		metricsAddrs[emulator.ControllerName(i)], adminAddrs[emulator.ControllerName(i)] = portAddr(
			31+i,
		), portAddr(
			41+i,
		)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	controllers := &supervisor.Supervisor{
		Executable:   c.Program,
		Dir:          c.Dir,
		RestartDelay: restartDelay,
		OnEvent:      func(s string) { fmt.Println(s) },
	}
	start := func(ctx context.Context, _ host.Net, s *config.Settings) error {
		fmt.Printf(
			"counters of %s: http://%s/metrics; its operators: %s\n",
			s.Node,
			metricsAddrs[s.Node],
			adminAddrs[s.Node],
		)
		if err := controllers.Run(
			ctx,
			s,
			"--metrics",
			metricsAddrs[s.Node],
			"--operate",
			adminAddrs[s.Node],
		); err != nil {
			cancel(err)
		}
		return nil
	}
	environment, err := emulator.NewOnNetwork(
		ctx,
		func(string) host.Net { return host.Real{} },
		addresses,
		controllerCount,
		c.Seed,
		start,
	)
	if err != nil {
		return err
	}
	if err := environment.ServeBalancer(ctx, portAddr(0)); err != nil {
		return err
	}
	for i := range controllerCount {
		environment.Start(i)
	}
	fmt.Printf("users: %s; the controllers' settings and logs: %s\n", portAddr(0), c.Dir)
	printed := 0
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for i := range controllerCount {
				environment.Crash(i)
			}
			if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		case <-tick.C:
			finished, accepted := environment.Checker.Finished()
			fmt.Printf(
				"%d machines, %d tasks on them; %d jobs accepted, %d known to be over\n",
				len(environment.Cloud.Workers()),
				environment.Checker.Tasks(),
				accepted,
				finished,
			)
			violations := environment.Checker.Violations()
			for _, b := range violations[printed:] {
				fmt.Println("BROKEN RULE", b)
			}
			printed = len(violations)
		}
	}
}
