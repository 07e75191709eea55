// Package msgpackhttp is the client side of the platform's HTTP with MessagePack bodies, shared by the clients of the
// key-value store, the cloud and the agents.
package msgpackhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/wire"
)

// StatusError is a response with another status than 200.
type StatusError struct {
	Code int
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Code) }

// StatusCode returns the status behind an error, or 0 if there was no response.
func StatusCode(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Code
	}
	return 0
}

// ErrTooLarge says that a response has more bytes than the caller takes.
var ErrTooLarge = errors.New("response too large")

// IsUnsent tells whether a request surely was not sent: no connection was made.
func IsUnsent(err error) bool {
	var target unsentError
	return errors.As(err, &target)
}

// unsentError marks the error of a connection that was not made.
type unsentError struct{ error }

// Unwrap gives the cause.
func (e unsentError) Unwrap() error { return e.error }

// Client talks to hosts over connections that are reused.
type Client struct {
	httpClient *http.Client
}

const (
	// idleTimeout is longer than any interval at which a host is called regularly.
	idleTimeout = 2 * time.Minute
	// Buffers are small since there may be a connection to each of thousands of machines.
	bufferBytes    = 2 << 10
	maxHeaderBytes = 8 << 10
)

// New makes a client that has up to maxPerHost connections to a host, and of all of them maxIdle that are idle.
func New(network host.Net, maxPerHost, maxIdle int, dialTimeout time.Duration) *Client {
	return &Client{httpClient: &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				c, err := network.Dial(ctx, addr, dialTimeout)
				if err != nil {
					err = unsentError{err}
				}
				return c, err
			},
			MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxPerHost, MaxConnsPerHost: maxPerHost,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
			ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close ends idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do sends a request and decodes a 200 into out. Any other status is a *StatusError; an error without a status means
// that the fate of the request is unknown, unless IsUnsent. limit bounds the bytes of the response, ErrTooLarge.
func (c *Client) Do(ctx context.Context, method, addr, path string, in, out any, limit int64) error {
	var body io.Reader
	if in != nil {
		data, err := wire.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // all that is wanted of the body was read
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode, data}
	}
	if out == nil {
		return nil
	}
	return wire.Unmarshal(data, out)
}
