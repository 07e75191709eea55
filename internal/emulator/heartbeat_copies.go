package emulator

import (
	"context"
	"sync"
	"time"

	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// maxRetainedHeartbeats is the maximum number of heartbeat copies, besides the newest, retained for replay to the next
// leader.
const maxRetainedHeartbeats = 500

// copyTimeout is the time that the sender of a copy waits for the response.
const copyTimeout = 4 * time.Second

// heartbeatCopier emulates a network that delivers heartbeats more than once, late, or to another controller.
type heartbeatCopier struct {
	ctx         context.Context // context of the environment
	networkOf   networkFunc
	controllers *controllerGroup
	random      *randomSource

	mu                sync.Mutex
	duplicateChance   float64 // probability that a heartbeat is delivered twice
	maxDuplicateDelay time.Duration
	retainChance      float64 // probability that a copy of a heartbeat is retained for replay to the next leader
	retained          []*wire.Heartbeat
}

// DuplicateHeartbeats sets the probability that a heartbeat is delivered twice to its controller, and the maximum delay
// of the second delivery.
func (c *heartbeatCopier) DuplicateHeartbeats(probability float64, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duplicateChance, c.maxDuplicateDelay = probability, maxDelay
}

// maybeDuplicate delivers a heartbeat a second time with the probability set by DuplicateHeartbeats, and may retain a
// copy. The response to the second delivery is discarded.
func (c *heartbeatCopier) maybeDuplicate(controllerAddr string, heartbeat *wire.Heartbeat) {
	duplicate, delay := c.drawCopies(heartbeat)
	if !duplicate {
		return
	}
	deliverLater(c.ctx, delay, func() { c.SendDuplicate(controllerAddr, heartbeat) })
}

// drawCopies randomly decides whether a heartbeat is retained, and whether and with what delay it is duplicated.
func (c *heartbeatCopier) drawCopies(heartbeat *wire.Heartbeat) (duplicate bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.chanceIfSet(c.retainChance) {
		surplus := max(0, len(c.retained)-maxRetainedHeartbeats)
		c.retained = append(c.retained[surplus:], heartbeat)
	}
	if c.duplicateChance > 0 {
		duplicate = c.random.chance(c.duplicateChance)
		delay = c.random.delayUpTo(c.maxDuplicateDelay)
	}
	return duplicate, delay
}

// SendDuplicate sends a copy of a heartbeat from a host other than the heartbeat's machine, and discards the response.
func (c *heartbeatCopier) SendDuplicate(controllerAddr string, heartbeat *wire.Heartbeat) {
	client := msgpackhttp.New(c.networkOf("copies"), 1, 1, time.Second)
	defer client.Close()
	ctx, cancel := context.WithTimeout(c.ctx, copyTimeout)
	defer cancel()
	var response wire.HeartbeatResponse
	_ = client.Do(ctx, "POST", controllerAddr, wire.PathHeartbeat, heartbeat, &response, wire.MaxBody)
}

// RetainHeartbeats sets the probability that a copy of a heartbeat is retained for replay to the next leader.
func (c *heartbeatCopier) RetainHeartbeats(probability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retainChance = probability
}

// ReplayRetained sends the oldest, the middle and the newest retained heartbeat of each machine to every controller,
// all concurrently. It returns the number of heartbeats sent.
func (c *heartbeatCopier) ReplayRetained() (sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byMachine := map[string][]*wire.Heartbeat{}
	for _, heartbeat := range c.retained {
		byMachine[heartbeat.Machine] = append(byMachine[heartbeat.Machine], heartbeat)
	}
	for _, copies := range byMachine {
		for _, k := range []int{0, len(copies) / 2, len(copies) - 1} {
			for _, controller := range c.controllers.processes {
				sent++
				go c.SendDuplicate(controller.userAddr, copies[k])
			}
		}
	}
	return sent
}
