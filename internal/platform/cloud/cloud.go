// Package cloud is a rate-limited client of the cloud's API.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

const (
	maxConns    = 4
	dialTimeout = 2 * time.Second
	// callTimeout bounds each request, including the wait for the budget.
	callTimeout      = 8 * time.Second
	maxResponseBytes = 1 << 20
)

// Client sends requests to the cloud's API, within a budget of requests per second.
type Client struct {
	transport *msgpackhttp.Client
	addr      string
	budget    *rate.Limiter
}

// New returns a client that sends at most rps requests per second.
func New(network host.Net, addr string, rps float64) *Client {
	return &Client{
		transport: msgpackhttp.New(network, maxConns, maxConns, dialTimeout),
		addr:      addr,
		budget:    rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return err
	}
	return c.transport.Do(ctx, method, c.addr, path, in, out, maxResponseBytes)
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// MachineTypes returns the machine types that can be provisioned.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var types wire.MachineTypes
	err := c.do(ctx, http.MethodGet, wire.PathMachineTypes, nil, &types)
	return types.Types, err
}

// Provision requests machines and returns their names. A lack of capacity results in a status error with code 503.
func (c *Client) Provision(ctx context.Context, request *wire.ScaleOutRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.do(ctx, http.MethodPost, wire.PathMachines, request, &names)
	return names.Machines, err
}

// Release returns machines to the cloud. Once it returns without an error, the machines and everything on them are
// gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, wire.PathRelease, &wire.MachineNames{Machines: names}, nil)
}

// ListMachines returns all machines in the cloud's listing, which it reads page by page.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	after := ""
	for {
		query := url.Values{"most": {fmt.Sprint(wire.MaxList)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, wire.PathMachines+"?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
