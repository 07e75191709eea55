// Package msgpackhttp is an HTTP client for MessagePack bodies, shared by the clients of the key-value store, the cloud
// and the agents.
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

// StatusError is the error for a response with a status other than 200. It holds the status code and the response body.
type StatusError struct {
	Code int
	Body []byte
}

// Error names the status code.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Code) }

// StatusCode returns the HTTP status of a StatusError in the chain of err, or 0 if there is none.
func StatusCode(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Code
	}
	return 0
}

// ErrTooLarge is returned for a response that exceeds the caller's limit.
var ErrTooLarge = errors.New("response too large")

// IsUnsent reports whether err shows that a request was certainly not sent, because no connection could be established.
func IsUnsent(err error) bool {
	var target unsentError
	return errors.As(err, &target)
}

// unsentError marks an error as a failure to connect.
type unsentError struct{ error }

// Unwrap returns the error of the failed connection attempt.
func (e unsentError) Unwrap() error { return e.error }

// Client sends requests to any number of hosts and reuses connections.
type Client struct {
	httpClient *http.Client
}

const (
	// idleTimeout exceeds the interval of all periodic requests, so that their connections are reused.
	idleTimeout = 2 * time.Minute
	// Buffers are small since there may be connections to thousands of machines.
	bufferBytes    = 2 << 10
	maxHeaderBytes = 8 << 10
)

// New returns a client with up to maxPerHost connections per host, and up to maxIdle idle connections in total.
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

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do sends a request and decodes the body of a 200 response into out, unless out is nil. Any other status results in a
// *StatusError. After an error without a status, the outcome of the request is unknown, unless IsUnsent reports true. A
// response of more than limit bytes results in ErrTooLarge.
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
	defer func() { _ = resp.Body.Close() }() // an error is irrelevant once the body was read
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode, data}
	}
	if out == nil {
		return nil
	}
	return wire.Unmarshal(data, out)
}
