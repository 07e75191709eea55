package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

// cluster is a small deployment: three controllers as processes, among the project's stand-ins on loopback.
type cluster struct {
	*emulator.Environment
	*session
	processes *processes
	store     string
	types     []wire.MachineType
	client    *msgpackhttp.Client
	stop      context.CancelFunc
	done      sync.WaitGroup
}

const controllers = 3

// maxCopyDelay is the maximum delay of the copies of direct commands, which arrive once more after they were answered.
const maxCopyDelay = 5 * time.Second

// freePorts returns the addresses of free ports of 127.0.0.1.
func freePorts(n int) ([]string, error) {
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // all together, so that no address comes twice
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// workerPorts is the number of addresses for machines.
const workerPorts = 60

// startCluster starts a deployment.
func startCluster(s *session, deployment emulator.Deployment) (*cluster, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(command[0]); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fieldhill-review-")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(2 + 2*controllers + workerPorts)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(s.ctx)
	c := &cluster{
		session: s, store: ports[0], types: deployment.Types, stop: stop,
		client: msgpackhttp.New(host.TCP{}, 2, 4, time.Second),
		processes: &processes{
			rec: s.rec, command: command, dir: dir, restartDelay: restartDelay, running: map[string]*os.Process{},
		},
	}
	addresses := emulator.Addresses{
		Store:  ports[0],
		Cloud:  ports[1],
		Users:  func(i int) string { return ports[2+i] },
		Peers:  func(i int) string { return ports[2+controllers+i] },
		Worker: func(i int) string { return ports[2+2*controllers+i%workerPorts] },
	}
	run := func(ctx context.Context, h host.Net, s *config.Settings) error {
		c.done.Add(1)
		defer c.done.Done()
		return c.processes.run(ctx, h, s)
	}
	networkOf := func(string) host.Net { return host.TCP{} }
	c.Environment, err = emulator.NewDeployment(ctx, networkOf, addresses, controllers, 1, run, deployment)
	if err != nil {
		stop()
		return nil, err
	}
	c.DuplicateCommands(1, maxCopyDelay)
	c.Store.SetRateLimits(deployment.Params.KVStore.RPS, deployment.Params.KVStore.WriteRPS)
	for i := range controllers {
		c.SetZone(i, deployment.Params.Zones[i%len(deployment.Params.Zones)])
		c.Start(i)
	}
	return c, nil
}

// end ends all controllers and removes their files, unless KEEP is set.
func (c *cluster) end() {
	c.copies = c.CommandCopies()
	c.rec.line("copies of commands: %d executed, %d rejected", c.copies.Executed, c.copies.Rejected)
	c.stop()
	c.done.Wait()
	if os.Getenv("KEEP") != "" {
		c.rec.line("settings and logs are kept in %s", c.processes.dir)
		return
	}
	_ = os.RemoveAll(c.processes.dir) // what is left is in a temporary folder
}

// awaitReady waits until all controllers are ready.
func (c *cluster) awaitReady() error {
	return c.await("controllers ready", func() bool {
		for i := range controllers {
			if c.ready(i) != "200 OK" {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (c *cluster) await(what string, holds func() bool) error {
	for !holds() {
		select {
		case <-c.ctx.Done():
			return fmt.Errorf("not reached: %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	c.rec.line("%s", what)
	return nil
}

// leader returns the node that the leader's key in the key-value store names; empty if there is no key.
func (c *cluster) leader() string {
	var item wire.Item
	err := c.client.Do(c.ctx, http.MethodGet, c.store, wire.PathKeys+"/"+oplog.KeyLeader, nil, &item, wire.MaxBody)
	if err != nil {
		return ""
	}
	var value wire.LogValue
	if wire.Unmarshal(item.Value, &value) != nil {
		return ""
	}
	return value.Node
}

// killLeader kills the controller that leads, as soon as one does.
func (c *cluster) killLeader() error {
	for c.ctx.Err() == nil {
		if node := c.leader(); node != "" && c.processes.signal(node, syscall.SIGKILL) {
			c.rec.line("controller %s, which leads, is killed", node)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no leader to kill")
}

// submit submits a job as a user does.
func (c *cluster) submit(spec *wire.JobSpec) error {
	code := c.Submit(spec)
	c.rec.line("submit %s (%s, %d tasks): %d", spec.ID, spec.Class, spec.Tasks, code)
	if code != http.StatusCreated && code != http.StatusOK {
		return fmt.Errorf("submission of %s got status %d", spec.ID, code)
	}
	return nil
}

// cancel cancels a job as a user does, and returns when the user was told.
func (c *cluster) cancel(id string) (told time.Time, err error) {
	code := c.Cancel(id)
	told = time.Now()
	c.rec.line("cancel %s: %d", id, code)
	if code != http.StatusOK {
		return told, fmt.Errorf("cancellation of %s got status %d", id, code)
	}
	return told, nil
}

// poll polls a job at a controller and records the answer.
func (c *cluster) poll(controller int, id string) {
	code, status := c.RequestAt(controller, "poll", id, nil)
	if status != nil && code == http.StatusOK {
		c.rec.line("poll %s: %d %s, %d running, %d done", id, code, status.State, status.Running, status.Done)
		return
	}
	c.rec.line("poll %s: %d", id, code)
}

// machineOf returns the machine that runs a task, as its agent last reported; nil if none does.
func (c *cluster) machineOf(task string) *emulator.Worker {
	for _, worker := range c.Cloud.Workers() {
		if heartbeat := worker.LastHeartbeat(); heartbeat != nil {
			for _, t := range heartbeat.Tasks {
				if t.Task == task && t.State == wire.TaskRunning {
					return worker
				}
			}
		}
	}
	return nil
}

// runningTasks returns the number of tasks of a job that are on machines.
func (c *cluster) runningTasks(id string) int { return c.Checker.RunningTasks(id) }
