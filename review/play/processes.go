package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
)

// processes runs controllers as child processes, as the platform does: with the command of the deploy file and a
// settings file, and again some seconds after each end.
type processes struct {
	rec          *record
	command      []string // of deploy/service.toml, without the settings file
	dir          string   // for settings and logs
	restartDelay time.Duration

	mu      sync.Mutex
	running map[string]*os.Process // by node
}

// deployCommand returns the run command of deploy/service.toml.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		return nil, err
	}
	command := strings.Fields(deploy.Run)
	if len(command) == 0 {
		return nil, fmt.Errorf("deploy/service.toml has no run command")
	}
	return command, nil
}

// run runs one controller until the context ends. It has the signature of emulator.ControllerFunc.
func (p *processes) run(ctx context.Context, _ host.Net, settings *config.Settings) error {
	encoded, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	settingsPath := filepath.Join(p.dir, settings.Node+".toml")
	if err := os.WriteFile(settingsPath, encoded, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.dir, settings.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	for ctx.Err() == nil {
		args := append(slices.Clone(p.command[1:]), settingsPath)
		cmd := exec.CommandContext(ctx, p.command[0], args...)
		cmd.Stderr = logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		p.set(settings.Node, cmd.Process)
		p.rec.line("controller %s starts, zone %s", settings.Node, settings.Zone)
		_ = cmd.Wait() // a killed process ends with an error
		p.set(settings.Node, nil)
		if ctx.Err() == nil {
			p.rec.line("controller %s ended", settings.Node)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.restartDelay):
		}
	}
	return nil
}

func (p *processes) set(node string, process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if process == nil {
		delete(p.running, node)
		return
	}
	p.running[node] = process
}

// signal sends a signal to a controller's process. It reports whether the process was running.
func (p *processes) signal(node string, signal os.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	process := p.running[node]
	return process != nil && process.Signal(signal) == nil
}
