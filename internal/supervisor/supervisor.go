// Package supervisor keeps controllers running as processes of their own, as the platform would, for programs that
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

// Supervisor starts controllers, and starts each again whenever it ends.
type Supervisor struct {
	Executable   string
	Dir          string // where settings and logs are written
	RestartDelay time.Duration
	// OnEvent, if not nil, is called with a line for people at each start and end.
	OnEvent func(string)

	mu        sync.Mutex
	processes map[string]*os.Process // by the controller's name; only those that run
}

func (s *Supervisor) notify(format string, args ...any) {
	if s.OnEvent != nil {
		s.OnEvent(fmt.Sprintf(format, args...))
	}
}

// Run runs a controller until the context ends, and returns nil then. Any error means that it could not be started.
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
		// Ctrl-C is for this program, which ends the controllers itself.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			return err // it names the operation and the program
		}
		s.setProcess(node, cmd.Process)
		s.notify("controller %s in zone %s runs as process %d at %s",
			node, settings.Zone, cmd.Process.Pid, settings.Bind)
		exitErr := cmd.Wait()
		s.setProcess(node, nil)
		if ctx.Err() != nil {
			return nil
		}
		s.notify("controller %s has ended (%v), it starts again in %v", node, exitErr, s.RestartDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.RestartDelay):
		}
	}
}

// setProcess remembers a controller's process, or with nil that it has none.
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

// Kill ends a controller's process with a signal that it can't handle, and reports whether it ran.
func (s *Supervisor) Kill(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.processes[node]
	return process != nil && process.Kill() == nil
}
