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
	http   *msgpackhttp.Client
	addr   string
	budget *rate.Limiter
}

// New makes a client that sends at most rps requests a second.
func New(via host.Net, addr string, rps float64) *Client {
	return &Client{http: msgpackhttp.New(via, 4, 4, 2*time.Second), addr: addr, budget: rate.NewLimiter(rate.Limit(rps), max(1, int(rps)))}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return err
	}
	return c.http.Do(ctx, method, c.addr, path, in, out, 1<<20)
}

// Close ends idle connections.
func (c *Client) Close() { c.http.Close() }

// Types asks what can be rented.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.MachineTypes
	err := c.do(ctx, "GET", wire.PathTypes, nil, &t)
	return t.Types, err
}

// Hire rents machines. A refusal for lack of capacity is a status error 503.
func (c *Client) Hire(ctx context.Context, h *wire.Hire) ([]string, error) {
	var n wire.MachineNames
	err := c.do(ctx, "POST", wire.PathMachines, h, &n)
	return n.Machines, err
}

// Release returns machines. When it succeeds they and everything on them are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, "POST", wire.PathRelease, &wire.MachineNames{Machines: names}, nil)
}

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		q := url.Values{"most": {fmt.Sprint(wire.MaxList)}}
		if after != "" {
			q.Set("after", after)
		}
		var p wire.MachineList
		if err := c.do(ctx, "GET", wire.PathMachines+"?"+q.Encode(), nil, &p); err != nil {
			return nil, err
		}
		all = append(all, p.Machines...)
		if !p.More || len(p.Machines) == 0 {
			return all, nil
		}
		after = p.Machines[len(p.Machines)-1].Name
	}
}
