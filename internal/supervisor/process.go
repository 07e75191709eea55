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

// Keeper starts controllers, and starts each again whenever it ends.
type Keeper struct {
	Program    string
	Dir        string // where settings and logs are written
	StartAgain time.Duration
	// Say, if not nil, is told of each start and end.
	Say func(string)

	mu    sync.Mutex
	alive map[string]*os.Process
}

func (k *Keeper) say(format string, args ...any) {
	if k.Say != nil {
		k.Say(fmt.Sprintf(format, args...))
	}
}

// Keep runs a controller until the context ends.
func (k *Keeper) Keep(ctx context.Context, s *config.Settings, args ...string) error {
	b, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(k.Dir, s.Node+".toml")
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(k.Dir, s.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	for {
		cmd := exec.CommandContext(ctx, k.Program, append([]string{"--config", path}, args...)...)
		cmd.Stderr = log
		// Ctrl-C is for this program, which ends the controllers itself.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			return err
		}
		k.note(s.Node, cmd.Process)
		k.say("controller %s in zone %s runs as process %d at %s", s.Node, s.Zone, cmd.Process.Pid, s.Bind)
		err := cmd.Wait()
		k.note(s.Node, nil)
		if ctx.Err() != nil {
			return nil
		}
		k.say("controller %s has ended (%v), it starts again in %v", s.Node, err, k.StartAgain)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(k.StartAgain):
		}
	}
}

func (k *Keeper) note(node string, p *os.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.alive == nil {
		k.alive = map[string]*os.Process{}
	}
	if p == nil {
		delete(k.alive, node)
	} else {
		k.alive[node] = p
	}
}

// Kill ends a controller's process without a signal that it could take, and tells whether it ran.
func (k *Keeper) Kill(node string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.alive[node]
	return p != nil && p.Kill() == nil
}
