// Package host is the process's access to the network: listening and dialling. Tests put a network in memory in its
// place.
package host

import (
	"context"
	"net"
	"time"
)

// Net listens and dials.
type Net interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)
}

// Real is the machine's own network.
type Real struct{}

// Listen listens on an address.
func (Real) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial connects to an address. TCP keep-alives are off: all protocols over it have timeouts of their own.
func (Real) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}
