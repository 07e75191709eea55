// Package supervisor runs controllers as child processes and restarts them, as the platform would, for programs that
// emulate a deployment on one machine.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fieldhill/internal/config"
)

// Supervisor runs controllers as child processes and restarts each when it exits.
type Supervisor struct {
	Executable   string // path of the controller executable
	Dir          string // directory for settings and logs
	RestartDelay time.Duration
	// OnEvent, if not nil, is called with a line of text at each start, and at each exit before the context ends.
	OnEvent func(string)

	mu        sync.Mutex
	processes map[string]*os.Process // running processes by controller name
}

func (s *Supervisor) reportEvent(format string, args ...any) {
	if s.OnEvent != nil {
		s.OnEvent(fmt.Sprintf(format, args...))
	}
}

// Run runs a controller and restarts it when it exits, until the context ends. An error means that the settings or the
// log file could not be written, or that the process could not be started.
func (s *Supervisor) Run(ctx context.Context, settings *config.Settings, args ...string) (err error) {
	node := settings.Node
	encoded, err := toml.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings of controller %s: %w", node, err)
	}
	settingsPath := filepath.Join(s.Dir, node+".toml")
	if err := os.WriteFile(settingsPath, encoded, 0o644); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.Dir, node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, logFile.Close()) }()
	for {
		cmd := exec.CommandContext(ctx, s.Executable, append([]string{"--config", settingsPath}, args...)...)
		cmd.Stderr = logFile
		// In a separate process group, the controller does not receive Ctrl-C; CommandContext kills it when the context
		// ends.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			return err // the error already names the operation and the program
		}
		s.setProcess(node, cmd.Process)
		s.reportEvent("controller %s in zone %s started: pid %d, user API %s",
			node, settings.Zone, cmd.Process.Pid, settings.Bind)
		exitErr := cmd.Wait()
		s.setProcess(node, nil)
		if ctx.Err() != nil {
			return nil
		}
		s.reportEvent("controller %s exited (%v), restarting in %v", node, exitErr, s.RestartDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.RestartDelay):
		}
	}
}

// setProcess records the running process of a controller; nil means that no process is running.
func (s *Supervisor) setProcess(node string, process *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes == nil {
		s.processes = map[string]*os.Process{}
	}
	if process == nil {
		delete(s.processes, node)
	} else {
		s.processes[node] = process
	}
}

// Kill sends SIGKILL to a controller's process and reports whether it was running.
func (s *Supervisor) Kill(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.processes[node]
	return process != nil && process.Kill() == nil
}
