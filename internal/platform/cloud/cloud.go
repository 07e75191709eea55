// Package cloud is the client of the cloud's interface, with a rate budget.
package cloud

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Client talks to the cloud.
type Client struct {
	transport *msgpackhttp.Client
	addr      string
	budget    *rate.Limiter
}

// New makes a client that sends at most rps requests a second.
func New(network host.Net, addr string, rps float64) *Client {
	return &Client{
		transport: msgpackhttp.New(network, 4, 4, 2*time.Second),
		addr:      addr,
		budget:    rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return err
	}
	return c.transport.Do(ctx, method, c.addr, path, in, out, 1<<20)
}

// Close ends idle connections.
func (c *Client) Close() { c.transport.Close() }

// MachineTypes asks what can be rented.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var types wire.MachineTypes
	err := c.do(ctx, "GET", wire.PathTypes, nil, &types)
	return types.Types, err
}

// Provision rents machines. A refusal for lack of capacity is a status error 503.
func (c *Client) Provision(ctx context.Context, request *wire.ScaleOutRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.do(ctx, "POST", wire.PathMachines, request, &names)
	return names.Machines, err
}

// Release returns machines. When it succeeds they and everything on them are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, "POST", wire.PathRelease, &wire.MachineNames{Machines: names}, nil)
}

// ListMachines reads the whole machine list.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	after := ""
	for {
		query := url.Values{"most": {fmt.Sprint(wire.MaxList)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, "GET", wire.PathMachines+"?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
