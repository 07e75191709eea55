// Command trio tries fieldhill out on one machine: it plays the state service, the cloud,
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
	nodes      = 3
	startAgain = 5 * time.Second
	tellEvery  = 5 * time.Second
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
	k := kong.Parse(&c, kong.Description("Try fieldhill out: three controllers and stand-ins for everything else, on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	if _, err := os.Stat(c.Program); errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s is not built yet, see README.md", c.Program)
	}
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "fieldhill-trio-")
		if err != nil {
			return err
		}
		c.Dir = dir
	}
	at := func(k int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.Port+k)) }
	places := emulator.Places{
		State: at(10), Cloud: at(11),
		Users:  func(i int) string { return at(1 + i) },
		Peers:  func(i int) string { return at(21 + i) },
		Worker: func(i int) string { return at(100 + i) },
	}
	metrics, operate := map[string]string{}, map[string]string{}
	for i := range nodes {
		metrics[emulator.NodeName(i)], operate[emulator.NodeName(i)] = at(31+i), at(41+i)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keeper := &supervisor.Keeper{Program: c.Program, Dir: c.Dir, StartAgain: startAgain, Say: func(s string) { fmt.Println(s) }}
	start := func(ctx context.Context, _ host.Net, s *config.Settings) error {
		fmt.Printf("counters of %s: http://%s/metrics; its operators: %s\n", s.Node, metrics[s.Node], operate[s.Node])
		if err := keeper.Keep(ctx, s, "--metrics", metrics[s.Node], "--operate", operate[s.Node]); err != nil {
			cancel(err)
		}
		return nil
	}
	w, err := emulator.NewOn(ctx, func(string) host.Net { return host.Real{} }, places, nodes, c.Seed, start)
	if err != nil {
		return err
	}
	if err := w.Balance(ctx, at(0)); err != nil {
		return err
	}
	for i := range nodes {
		w.Start(i)
	}
	fmt.Printf("users: %s; the controllers' settings and logs: %s\n", at(0), c.Dir)
	told := 0
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for i := range nodes {
				w.Crash(i)
			}
			if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		case <-tick.C:
			over, accepted := w.Referee.Finished()
			fmt.Printf("%d machines, %d tasks on them; %d jobs accepted, %d known to be over\n", len(w.Cloud.Up()), w.Referee.Tasks(), accepted, over)
			broken := w.Referee.Broken()
			for _, b := range broken[told:] {
				fmt.Println("BROKEN RULE", b)
			}
			told = len(broken)
		}
	}
}
