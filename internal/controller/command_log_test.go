package controller

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// newCommandLog returns a command log that writes to a handler, with a model of one machine.
func newCommandLog(handler slog.Handler) (*commandLog, *model.Machine) {
	env := &environment{log: slog.New(handler)}
	cl := &commandLog{
		environment: env,
		replica:     &replica{model: &model.Model{}},
		term:        &termState{environment: env, ownTerm: &leaderTerm{}},
	}
	return cl, &model.Machine{Info: model.MachineInfo{Name: "host-000001"}}
}

// startCommands returns n start commands.
func startCommands(n int) (commands []wire.Command) {
	for i := range n {
		commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: wire.TaskID(7, i), Attempt: 1})
	}
	return commands
}

// TestCommandsSentAreLogged checks that a message is logged in one line that names each command with its attempt, and
// the token, epoch, and path.
func TestCommandsSentAreLogged(t *testing.T) {
	var b strings.Builder
	cl, machine := newCommandLog(slog.NewTextHandler(&b, nil))
	machine.Contact.AgentEpoch = 2
	commands := append(startCommands(2), wire.Command{Verb: wire.VerbStop, Task: wire.TaskID(8, 0), Attempt: 3})
	cl.logSent(machine, commands, 50331649, pathRelay)
	cl.logSent(machine, nil, 50331649, pathRelay)
	want := `msg="commands sent" machine=host-000001 token=50331649 agent_epoch=2 path=relay committed=0 ` +
		`commands="run req-000007/0@1 run req-000007/1@1 kill req-000008/0@3 (not placed here)"` + "\n"
	if _, got, _ := strings.Cut(b.String(), "level=INFO "); got != want {
		t.Errorf("got line %s, want %s", got, want)
	}
}

// BenchmarkLogSentCommands measures what logging a message costs the event loop, including the write.
func BenchmarkLogSentCommands(b *testing.B) {
	file, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for _, n := range []int{1, 4, 40, 400} {
		cl, machine := newCommandLog(slog.NewTextHandler(file, nil))
		commands := startCommands(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				cl.logSent(machine, commands, 50331649, pathDirect)
			}
		})
	}
}
