package controller

import (
	"log/slog"
	"strconv"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// commandPath is how commands are sent to a machine, as it is logged.
type commandPath string

// Paths of commands.
const (
	pathDirect   commandPath = "direct"
	pathRelay    commandPath = "relay"
	pathResponse commandPath = "response" // to a heartbeat
)

// commandLog logs the commands sent to machines, one line for each message.
type commandLog struct {
	*environment
	replica *replica
	term    *termState
}

// logSent logs the commands of a message under the token with which they are sent.
func (cl *commandLog) logSent(machine *model.Machine, commands []wire.Command, token uint64, path commandPath) {
	if len(commands) == 0 {
		return
	}
	cl.log.Info("commands sent", "machine", machine.Info.Name, "token", token,
		"agent_epoch", machine.Contact.AgentEpoch, "path", string(path),
		"committed", cl.term.ownTerm.commits.committedSeq,
		"commands", sentCommands{cl.replica.model, machine, commands})
}

// sentCommands are the commands of a message, which are formatted only if the line is logged.
type sentCommands struct {
	model    *model.Model
	machine  *model.Machine
	commands []wire.Command
}

// bytesPerCommand is the usual length of a command's description.
const bytesPerCommand = 32

// LogValue implements slog.LogValuer. It lists the commands as the verb, the task and its attempt, and for a stop the
// reason.
func (s sentCommands) LogValue() slog.Value {
	b := make([]byte, 0, len(s.commands)*bytesPerCommand)
	for i := range s.commands {
		command := &s.commands[i]
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, command.Verb...)
		b = append(b, ' ')
		b = append(b, command.Task...)
		b = append(b, '@')
		b = strconv.AppendUint(b, command.Attempt, 10)
		if command.Verb == wire.VerbStop {
			b = append(b, ' ')
			b = append(b, s.model.StopReason(s.machine, command)...)
		}
	}
	return slog.StringValue(string(b))
}
