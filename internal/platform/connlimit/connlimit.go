// Package connlimit limits the connections to a server, and the memory of requests that have arrived in part.
//
// A client that connects while the limit is reached need not wait for others to leave: the oldest connection that has
// not sent a whole request is closed instead. So clients that send nothing, or half a request, only displace each
// other, and each has time for its request (Limiter.requestTime). If there are none, a connection that has been idle
// for minIdleTime is closed, which those of agents and polling users never are. If there are none of these either, a
// new connection waits. Connections whose requests are being handled are never closed.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Limiter limits and counts the open connections of one server. MaxConns must be set; the other fields are optional.
type Limiter struct {
	MaxConns int // maximum number of open connections
	// MaxUnreadBytes is the number of bytes received in requests that have not arrived as a whole beyond which only the
	// first unreadAllowance bytes of a request are received. 0 stands for no limit.
	MaxUnreadBytes int

	mu          sync.Mutex
	roomChanged sync.Cond // with mu as its lock; signalled when a connection may be closed or was
	timerSet    bool      // a timer will wake the listener, which waits for room
	open        int
	unreadBytes int
	// evictable holds the connections of each phase in which they may be closed, in the order of entering the phase.
	evictable [evictablePhases]list.List
}

const (
	// maxQueued is the number of clients that may wait for their connection to be accepted: the usual limit of the
	// operating system.
	maxQueued = 4096
	// unreadAllowance is the number of bytes of each request that are received in any case; most requests are smaller.
	unreadAllowance = 4 << 10
	// readRetryInterval is the interval at which a connection checks whether it may receive more.
	readRetryInterval = 20 * time.Millisecond
	// minIdleTime is how long a connection must be idle before it is closed for others.
	minIdleTime = 10 * time.Second
	// maxQueueTime is the time within which that many clients are accepted, even if none of them sends a whole request.
	maxQueueTime = 2 * time.Second
)

// requestTime returns how long a connection is not closed for others while its request arrives.
func (l *Limiter) requestTime() time.Duration {
	return maxQueueTime * time.Duration(l.MaxConns) / maxQueued
}

// phase is what a connection is used for at the moment. The constants are in the order in which connections are closed.
type phase int

const (
	reading  phase = iota // no whole request has arrived since the connection was opened or became idle
	idle                  // between two requests
	handling              // a request is being handled
	closed
)

const evictablePhases = int(handling) // reading and idle

// NearLimit reports whether more than 7/8 of the connections are open, in which case agents must close their
// connections after each heartbeat. Without this, agents, which keep connections between heartbeats, could use all
// connections of a leader.
func (l *Limiter) NearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open*8 > l.MaxConns*7
}

// Listen returns a listener that accepts connections from another one within the limit. A limiter has one listener.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	l.roomChanged.L = &l.mu
	return &listener{Listener: inner, limiter: l}
}

// listener accepts connections within a limit.
type listener struct {
	net.Listener
	limiter *Limiter
	closed  bool // guarded by limiter.mu
}

// Accept waits for the next connection and, if necessary, for room. Its connections have the type *Conn.
func (ln *listener) Accept() (net.Conn, error) {
	inner, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: inner, limiter: ln.limiter}
	if !ln.admit(conn) {
		_ = inner.Close() // the listener was closed meanwhile
		return nil, net.ErrClosed
	}
	return conn, nil
}

// admit makes room for a connection and counts it. It returns false if the listener was closed.
func (ln *listener) admit(conn *Conn) bool {
	l := ln.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.MaxConns {
		if ln.closed {
			return false
		}
		if l.evict() {
			break
		}
		l.roomChanged.Wait()
	}
	l.open++
	l.enter(conn, reading)
	return true
}

// Close closes the listener. Open connections stay open.
func (ln *listener) Close() error {
	ln.limiter.mu.Lock()
	ln.closed = true
	ln.limiter.roomChanged.Broadcast()
	ln.limiter.mu.Unlock()
	return ln.Listener.Close()
}

// evict closes the connection that is needed least. It returns false if none may be closed yet.
func (l *Limiter) evict() bool {
	for i := range l.evictable {
		oldest := l.evictable[i].Front()
		if oldest == nil {
			continue
		}
		conn, minTime := oldest.Value.(*Conn), minIdleTime
		if conn.phase == reading {
			minTime = l.requestTime()
		}
		if wait := minTime - time.Since(conn.since); wait > 0 {
			l.wakeAfter(min(wait, l.requestTime()))
			return false
		}
		l.closeConn(conn)
		return true
	}
	return false
}

// wakeAfter wakes the listener after a duration, unless it will be woken before.
func (l *Limiter) wakeAfter(wait time.Duration) {
	if l.timerSet {
		return
	}
	l.timerSet = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.timerSet = false
		l.roomChanged.Broadcast()
	})
}

// evictUnread closes the oldest connection with at least the average number of unread bytes, if its request has had
// time to arrive.
func (l *Limiter) evictUnread() {
	average := l.unreadBytes / l.evictable[reading].Len()
	for element := l.evictable[reading].Front(); element != nil; element = element.Next() {
		conn := element.Value.(*Conn)
		if time.Since(conn.since) < l.requestTime() {
			return
		}
		if conn.unreadBytes >= average {
			l.closeConn(conn)
			return
		}
	}
}

// readable returns how many bytes a connection may receive now, of at most size; 0 means that it has to wait. If the
// limit of unread bytes is reached, readable makes room by closing another connection.
func (l *Limiter) readable(conn *Conn, size int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxUnreadBytes == 0 {
		return size
	}
	if conn.phase == reading && l.unreadBytes >= l.MaxUnreadBytes && conn.unreadBytes >= unreadAllowance {
		l.evictUnread()
	}
	if conn.phase != reading {
		return size
	}
	room := max(unreadAllowance-conn.unreadBytes, l.MaxUnreadBytes-l.unreadBytes, 0)
	return min(size, room)
}

// closeConn closes a connection that is still counted.
func (l *Limiter) closeConn(conn *Conn) {
	l.remove(conn)
	_ = conn.Conn.Close() // whoever reads from the connection gets the error
}

// remove stops counting a connection.
func (l *Limiter) remove(conn *Conn) {
	if conn.phase == closed {
		return
	}
	l.enter(conn, closed)
	l.open--
	l.roomChanged.Signal()
}

// enter moves a connection to another phase.
func (l *Limiter) enter(conn *Conn, next phase) {
	if conn.element != nil {
		l.evictable[conn.phase].Remove(conn.element)
		conn.element = nil
	}
	if next != reading {
		l.unreadBytes -= conn.unreadBytes
		conn.unreadBytes = 0
	}
	conn.phase, conn.since = next, time.Now()
	if int(next) < evictablePhases {
		conn.element = l.evictable[next].PushBack(conn)
		if !l.timerSet { // otherwise the timer finds it
			l.roomChanged.Signal()
		}
	}
}

// Conn is a connection that counts against a limit. The server reports its use; a nil Conn ignores these reports.
type Conn struct {
	net.Conn
	limiter *Limiter

	// Guarded by limiter.mu:
	phase       phase
	since       time.Time     // when the connection entered the phase
	element     *list.Element // in limiter.evictable, if the phase is one of those
	unreadBytes int           // received since the connection entered reading
}

// Read reads data, after waiting for room if the limit of unread bytes is reached. Data that arrives while the
// connection is idle is the beginning of a request.
func (c *Conn) Read(b []byte) (int, error) {
	size := c.limiter.readable(c, len(b))
	for size == 0 && len(b) > 0 {
		time.Sleep(readRetryInterval)
		size = c.limiter.readable(c, len(b))
	}
	n, err := c.Conn.Read(b[:size])
	if n > 0 {
		c.onRead(n)
	}
	return n, err
}

func (c *Conn) onRead(n int) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.phase {
	case idle:
		l.enter(c, reading)
	case reading:
	default:
		return
	}
	c.unreadBytes += n
	l.unreadBytes += n
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// RequestRead reports that a whole request has arrived, which is handled from now on.
func (c *Conn) RequestRead() { c.move(handling) }

// Idle reports that the request was answered and that the connection waits for the next one.
func (c *Conn) Idle() { c.move(idle) }

func (c *Conn) move(next phase) {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase != closed {
		c.limiter.enter(c, next)
	}
}
