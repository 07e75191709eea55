package controller

import (
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// maxCommandCopyDelay is the maximum delay of copies of direct commands. It exceeds the lease duration and the time
// that a cancellation may take.
const maxCommandCopyDelay = 70 * time.Second

// commandCopyShare is the share of direct commands that are copied in the random tests.
const commandCopyShare = 0.5

// attemptEnds are ways in which attempts end and their tasks are placed again or are over. Each submits jobs, numbered
// from first, and returns when many of their attempts have ended.
var attemptEnds = []struct {
	name string
	run  func(w *emulator.Environment, first int)
}{
	{"failed and moved", func(w *emulator.Environment, first int) {
		w.Submit(newHighArray(first, 20, 0.5, 60))
		for range 4 {
			time.Sleep(8 * time.Second)
			if busy := busyMachines(w); len(busy) > 0 {
				busy[len(busy)-1].FailAllTasks()
			}
		}
	}},
	{"cancelled", func(w *emulator.Environment, first int) {
		for n := first; n < first+8; n++ {
			s := newHighArray(n, 4, 0.5, 300)
			w.Submit(s)
			time.Sleep(3 * time.Second)
			w.Cancel(s.ID)
			time.Sleep(2 * time.Second)
		}
	}},
	{"gang member lost", func(w *emulator.Environment, first int) {
		for n := first; n < first+4; n++ {
			s := newHighArray(n, 3, 0.5, 20)
			toGang(s, 3)
			w.Submit(s)
		}
		for range 4 {
			time.Sleep(8 * time.Second)
			hangBusyMachine(w, 10*time.Second)
		}
	}},
	{"services moved from machines", func(w *emulator.Environment, first int) {
		for n := first; n < first+4; n++ {
			s := newReplicatedService(n, 4)
			s.Spread = true
			w.Submit(s)
		}
		time.Sleep(15 * time.Second)
		for range 3 {
			if busy := busyMachines(w); len(busy) > 0 {
				busy[0].FailAllTasks()
			}
			time.Sleep(8 * time.Second)
		}
		for n := first; n < first+4; n++ {
			w.Cancel(wire.JobID(uint64(n)))
		}
	}},
	{"preempted and resumed", func(w *emulator.Environment, first int) {
		low := newJobSpec(first, wire.Array, 24, 15)
		low.CheckpointIntervalS, low.CheckpointWriteS = 3, 1
		w.Submit(low)
		for n := first + 1; n < first+5; n++ {
			time.Sleep(8 * time.Second)
			w.Submit(newHighArray(n, 8, 2, 5))
		}
		time.Sleep(10 * time.Second)
	}},
}

// TestCopiesOfAnsweredCommandsStartNothing delivers every direct command once more after it was executed and answered,
// while attempts end and their tasks are placed again, also while the leader is restarted within a fraction of a
// second.
func TestCopiesOfAnsweredCommandsStartNothing(t *testing.T) {
	for _, end := range attemptEnds {
		for _, failover := range []bool{false, true} {
			t.Run(fmt.Sprint(end.name, ", failover ", failover), func(t *testing.T) {
				runCluster(t, 70, func(w *emulator.Environment) {
					w.Cloud.SetCapacity(3)
					startServices(w, 1)
					w.DuplicateCommands(1, maxCommandCopyDelay)
					for round := range 3 {
						if failover {
							w.Restart(leaderOrFirst(), 200*time.Millisecond)
						}
						end.run(w, 100*(round+1))
					}
					time.Sleep(maxCommandCopyDelay)
					checkCommandCopies(t, w)
				})
			})
		}
	}
}

// TestCopiesOfCommandsToRestartedAgents restarts the agents of busy machines within a fraction of a second under their
// names, with counters that continue or are reset, while copies of the commands to their earlier incarnations arrive.
// Copies that arrive after the first answer to the new incarnation must not start anything.
func TestCopiesOfCommandsToRestartedAgents(t *testing.T) {
	for _, resetCounters := range []bool{false, true} {
		t.Run(fmt.Sprint("reset counters ", resetCounters), func(t *testing.T) {
			runCluster(t, 71, func(w *emulator.Environment) {
				w.Cloud.SetCapacity(3)
				startServices(w, 1)
				w.DuplicateCommands(1, maxCommandCopyDelay)
				for round := range 20 {
					w.Submit(newHighArray(100+round, 6, 0.5, 5))
					cancelled := newHighArray(200+round, 3, 0.5, 300)
					w.Submit(cancelled)
					time.Sleep(6 * time.Second)
					w.Cancel(cancelled.ID)
					for _, worker := range busyMachines(w) {
						worker.Reboot(resetCounters)
						time.Sleep(200 * time.Millisecond)
					}
				}
				time.Sleep(maxCommandCopyDelay)
				checkCommandCopies(t, w)
			})
		})
	}
}

// TestFirstAnswerToRestartedAgentFencesCopies restarts an agent with reset counters, and requires that the first answer
// to it carries a token above those of the starts that were sent to its earlier incarnation.
func TestFirstAnswerToRestartedAgentFencesCopies(t *testing.T) {
	runCluster(t, 72, func(w *emulator.Environment) {
		startServices(w, 3)
		busy := busyMachines(w)
		if len(busy) == 0 {
			t.Fatal("no machine holds tasks")
		}
		worker := busy[0]
		startToken := worker.FencingToken()
		worker.DelayCommands(20 * time.Second) // no direct command delivers a token before the answer
		worker.Reboot(true)
		if token := waitFirstToken(worker); token <= startToken {
			t.Errorf("the first answer carried token %d, want one above %d, that of the starts", token, startToken)
		}
	})
}

// TestFollowerLetsEpochOfAgentWithoutTokenEnd checks that a follower renews the lease of an agent that has seen a
// token, but not of one that has seen none: that one would execute copies of commands to an earlier incarnation.
func TestFollowerLetsEpochOfAgentWithoutTokenEnd(t *testing.T) {
	withIdleController(t, 2500, func(c *Controller) {
		machine := addMachine(t, c, hostName(1))
		for _, token := range []uint64{0, 1} {
			answer := c.keepalives.renewAsFollower(&wire.Heartbeat{
				Machine: machine.Info.Name, AgentEpoch: 1, FencingToken: token,
			})
			if refused := answer == result.Result(leaseExpiring); refused != (token == 0) {
				t.Errorf("heartbeat with token %d: got %+v, want a refusal only without a token", token, answer)
			}
		}
	})
}

// TestTermEndsBeforeTokensRunOut checks that a leader that has raised a machine's token too often hands over to a new
// term, whose tokens begin anew, and that work goes on.
func TestTermEndsBeforeTokensRunOut(t *testing.T) {
	runCluster(t, 73, func(w *emulator.Environment) {
		startServices(w, 1)
		term, leader := currentTerm(), nodeAt(findLeader())
		leader.loop.postAndWait(func() {
			for _, machine := range leader.replica.model.MachinesInOrder {
				machine.Contact.TokenOffset = maxTokenOffset - 1
			}
		})
		short := newHighArray(100, 4, 0.5, 5)
		w.Submit(short)
		waitState(t, w, short.ID, wire.JobDone, 30*time.Second)
		if now := currentTerm(); now != term+1 {
			t.Errorf("term is %d, want %d: the one after the term without tokens", now, term+1)
		}
	})
}

// waitFirstToken returns the first fencing token that a restarted agent receives, or 0 if it receives none for ten
// seconds.
func waitFirstToken(worker *emulator.Worker) uint64 {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if token := worker.FencingToken(); token != 0 {
			return token
		}
	}
	return 0
}

// checkCommandCopies requires that machines executed copies of direct commands.
func checkCommandCopies(t *testing.T, w *emulator.Environment) {
	t.Helper()
	counts := w.CommandCopies()
	t.Logf("copies of commands: %+v", counts)
	if counts.Executed == 0 {
		t.Error("no copies of commands were executed: the fault did not occur")
	}
}
