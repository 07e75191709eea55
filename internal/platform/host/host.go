// Package host abstracts the network of the host. Tests substitute an in-memory network.
package host

import (
	"context"
	"net"
	"time"
)

// Net is the network of a process. Listen and Dial correspond to net.Listen and net.Dialer.DialContext for TCP.
type Net interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)
}

// TCP is the TCP network of the operating system.
type TCP struct{}

// Listen implements Net.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Net. TCP keep-alives are disabled, as all protocols on top have their own timeouts.
func (TCP) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
