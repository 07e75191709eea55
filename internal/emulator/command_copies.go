package emulator

import (
	"context"
	"sync"
	"time"

	"fieldhill/wire"
)

// commandCopier emulates a network that delivers direct commands once more after the machine executed and answered
// them.
type commandCopier struct {
	copier *requestCopier

	mu     sync.Mutex
	counts CommandCopyCounts
}

// CommandCopyCounts counts the copies of direct commands that reached machines.
type CommandCopyCounts struct {
	Executed int // accepted by the machine
	Rejected int // rejected because of their fencing token or epoch
}

// copiedCommands is the kind of the copies made by commandCopier, whose outcomes are counted in CommandCopyCounts.
const copiedCommands CopiedRequest = "direct commands"

func newCommandCopier(ctx context.Context, seed uint64) *commandCopier {
	return &commandCopier{copier: newRequestCopier(ctx, seed, 3)}
}

// DuplicateCommands sets the probability that a direct command is delivered once more after it was executed and
// answered, and the maximum delay of the second delivery.
func (c *commandCopier) DuplicateCommands(probability float64, maxDelay time.Duration) {
	c.copier.DuplicateRequests(probability, maxDelay)
}

// CommandCopies returns the number of copies that reached machines so far.
func (c *commandCopier) CommandCopies() CommandCopyCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// maybeDuplicate delivers commands to a machine a second time with the probability set by DuplicateCommands.
func (c *commandCopier) maybeDuplicate(worker *Worker, batch *wire.CommandBatch) {
	c.copier.maybeCopy(copiedCommands, func() { c.deliver(worker, batch) })
}

// deliver delivers the copy of a command, and counts it by its outcome.
func (c *commandCopier) deliver(worker *Worker, batch *wire.CommandBatch) {
	delivered, executed := worker.receiveCopy(batch)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case executed:
		c.counts.Executed++
	case delivered:
		c.counts.Rejected++
	}
}

// receiveCopy executes the copy of a command that the machine has executed before, if token and epoch still match. The
// copy is lost if the machine was deleted or is in an inbound partition. It is also lost if the agent was restarted
// with its counters reset and has not been answered since: no controller can prevent its execution then.
func (w *Worker) receiveCopy(batch *wire.CommandBatch) (delivered, executed bool) {
	w.lockWhenNotHung()
	defer w.mu.Unlock()
	if w.terminated || w.inboundPartitioned || w.fencingToken == 0 {
		return false, false
	}
	w.advance()
	return true, w.executeIfValid(batch)
}

// executeIfValid executes direct commands, unless a higher token was seen or they were sent for another epoch.
func (w *Worker) executeIfValid(batch *wire.CommandBatch) (executed bool) {
	if batch.FencingToken < w.fencingToken || batch.AgentEpoch != w.epoch {
		return false
	}
	w.fencingToken = batch.FencingToken
	w.execute(batch.Commands)
	return true
}
