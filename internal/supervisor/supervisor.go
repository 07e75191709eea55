// Package process keeps controllers running as processes of their own, as the platform would, for programs that play a
// deployment on one machine.
package supervisor

import (
	"context"
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
	// OnEvent, if not nil, is told of each start and end.
	OnEvent func(string)

	mu        sync.Mutex
	processes map[string]*os.Process
}

func (k *Supervisor) notify(format string, args ...any) {
	if k.OnEvent != nil {
		k.OnEvent(fmt.Sprintf(format, args...))
	}
}

// Run runs a controller until the context ends.
func (k *Supervisor) Run(ctx context.Context, s *config.Settings, args ...string) error {
	settings, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(k.Dir, s.Node+".toml")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(k.Dir, s.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	for {
		cmd := exec.CommandContext(ctx, k.Executable, append([]string{"--config", path}, args...)...)
		cmd.Stderr = logFile
		// Ctrl-C is for this program, which ends the controllers itself.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			return err
		}
		k.setProcess(s.Node, cmd.Process)
		k.notify("controller %s in zone %s runs as process %d at %s", s.Node, s.Zone, cmd.Process.Pid, s.Bind)
		err := cmd.Wait()
		k.setProcess(s.Node, nil)
		if ctx.Err() != nil {
			return nil
		}
		k.notify("controller %s has ended (%v), it starts again in %v", s.Node, err, k.RestartDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(k.RestartDelay):
		}
	}
}

func (k *Supervisor) setProcess(node string, process *os.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.processes == nil {
		k.processes = map[string]*os.Process{}
	}
	if process == nil {
		delete(k.processes, node)
	} else {
		k.processes[node] = process
	}
}

// Kill ends a controller's process without a signal that it could take, and tells whether it ran.
func (k *Supervisor) Kill(node string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	process := k.processes[node]
	return process != nil && process.Kill() == nil
}
