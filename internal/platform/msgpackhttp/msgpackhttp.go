// Package mphttp is the client side of the platform's HTTP with MessagePack
// bodies, shared by the clients of the state service, the cloud and the workers.
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

// StatusError is an answer other than the one hoped for.
type StatusError struct {
	Code int
	Body []byte
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Code) }

// StatusCode returns the status behind an error, or 0 if there was no answer.
func StatusCode(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Code
	}
	return 0
}

// IsUnsent tells whether a request surely never left: no connection was made.
func IsUnsent(err error) bool {
	var target unsentError
	return errors.As(err, &target)
}

// unsentError marks the error of a connection that was not made.
type unsentError struct{ error }

// Client talks to hosts over connections that are kept.
type Client struct {
	httpClient *http.Client
}

// New makes a client that keeps up to maxPerHost connections to a host.
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
			IdleConnTimeout: 2 * time.Minute, DisableCompression: true,
			ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: 8 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close ends idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do sends a request and decodes a 200 into out. Any other status is a
// *StatusError; an error without a status means that the fate is unknown,
// unless Unsent.
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
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("answer over %d bytes", limit)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode, data}
	}
	if out == nil {
		return nil
	}
	return wire.Unmarshal(data, out)
}
