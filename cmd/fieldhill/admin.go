package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"fieldhill/wire"
)

// adminAPIFlags are the flags of the commands that use the admin API.
//
//nolint:lll // a struct tag cannot be broken over lines
type adminAPIFlags struct {
	Addr    string        `name:"operate" env:"FIELDHILL_OPERATE" required:"" placeholder:"HOST:PORT" help:"Address of a controller's admin API."`
	Timeout time.Duration `default:"5s" help:"How long to wait for a response."`
	JSON    bool          `help:"Print the JSON response unchanged."`
}

// maxAdminBody is the maximum size of a response body of the admin API, in bytes. A queue of wire.MaxQueued jobs is
// smaller.
const maxAdminBody = 1 << 20

// get sends a GET request to the admin API and decodes the response into out. With --json it instead prints the
// response and returns true.
func (a *adminAPIFlags) get(path string, out any) (printed bool, err error) {
	resp, body, err := roundTrip(a.Addr, http.MethodGet, path, nil, a.Timeout, maxAdminBody)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		return false, adminError(resp, body)
	}
	if a.JSON {
		_, err := os.Stdout.Write(body)
		return true, err
	}
	return false, json.Unmarshal(body, out)
}

// adminError returns the error for a response with a status other than 200. The exit code is exitRetry if the response
// has a Retry-After header.
func adminError(resp *http.Response, body []byte) error {
	text := resp.Status
	var problem wire.AdminProblem
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		text += ": " + problem.Error
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		return &exitError{exitRetry, text + "; retry after " + after + " s"}
	}
	return &exitError{exitRefused, text}
}

// textPrinter prints text and keeps the first error, so that a command whose output is incomplete doesn't exit with
// success.
type textPrinter struct {
	w   io.Writer
	err error
}

func (p *textPrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// whyCmd explains why a job is pending.
type whyCmd struct {
	adminAPIFlags
	ID     string `arg:"" help:"Job ID."`
	WhatIf bool   `help:"Show for each reason what the next round would do without it."`
}

// Run requests the explanation and prints it.
func (c *whyCmd) Run() error {
	var explanation wire.Explanation
	path := wire.PathAdminJobs + "/" + url.PathEscape(c.ID) + wire.WhySuffix
	if printed, err := c.get(path, &explanation); err != nil || printed {
		return err
	}
	return printExplanation(os.Stdout, &explanation, c.WhatIf)
}

// printExplanation prints why a job is pending, the binding reasons first.
func printExplanation(w io.Writer, e *wire.Explanation, whatIf bool) error {
	p := &textPrinter{w: w}
	p.printf("%s %s, %d tasks waiting", e.ID, e.State, e.Waiting)
	if e.Starting > 0 {
		p.printf(", %d starting", e.Starting)
	}
	if e.AgeS > 0 {
		p.printf(" (from %s, up to %.0f s out of date)", e.Node, e.AgeS)
	}
	p.printf("\n")
	if e.Waiting > 0 && e.AgeS == 0 {
		p.printf("The next round places %d of them.\n", e.WillPlace)
	}
	anyBinding := p.printReasons(e.Reasons, true, whatIf)
	p.printReasons(e.Reasons, false, whatIf)
	switch {
	case anyBinding:
		p.printf("Removing any one of the reasons marked * would help.\n")
	case e.Waiting > e.WillPlace && len(e.Reasons) > 0:
		p.printf("Removing just one of the reasons would not help.\n")
	}
	for _, pair := range e.Pairs {
		p.printf("Removing both would help, but neither alone: %s and %s.\n", pair[0], pair[1])
	}
	if e.Partial {
		p.printf("Not all pairs of reasons were evaluated.\n")
	}
	p.printHistory(e.History)
	return p.err
}

// printReasons prints either the binding or the other reasons, and reports whether there are any such reasons.
func (p *textPrinter) printReasons(reasons []wire.Reason, binding, whatIf bool) (found bool) {
	mark := " "
	if binding {
		mark = "*"
	}
	for i := range reasons {
		r := &reasons[i]
		if r.Binding != binding {
			continue
		}
		found = true
		p.printf("%s %-13s %s\n", mark, r.Code, r.Text)
		if whatIf && (r.Binding || r.PlacedWithout > 0 || r.PreemptedWithout > 0) {
			p.printf("  %-13s without it: %d placed, %d of other jobs preempted\n",
				"", r.PlacedWithout, r.PreemptedWithout)
		}
	}
	return found
}

// printHistory prints the reasons reported by the scheduler, the current one first. Except for the current one, each
// reason's period ended when that of the preceding list entry began.
func (p *textPrinter) printHistory(history []wire.ReasonPeriod) {
	for i, period := range history {
		if i == 0 {
			p.printf("Reasons reported by the scheduler:\n")
			p.printf("  %-13s for %s\n", period.Code, formatSeconds(period.SinceS))
			continue
		}
		endS := history[i-1].SinceS
		p.printf("  %-13s for %s until %s ago\n", period.Code, formatSeconds(period.SinceS-endS), formatSeconds(endS))
	}
}

func formatSeconds(s float64) string {
	return time.Duration(s * 1e9).Round(100 * time.Millisecond).String()
}

// queueCmd lists the pending jobs.
type queueCmd struct {
	adminAPIFlags
	Team   string `help:"Only this team's jobs."`
	Class  string `help:"Only jobs of this class."`
	Reason string `help:"Only jobs that are pending for this reason (a code, see docs/WHY.md)."`
	Most   int    `default:"50" help:"Maximum number of jobs to list, 1 to 500."`
}

// Run requests the queue and prints it.
func (c *queueCmd) Run() error {
	query := url.Values{"most": {strconv.Itoa(c.Most)}}
	for key, value := range map[string]string{"team": c.Team, "class": c.Class, "reason": c.Reason} {
		if value != "" {
			query.Set(key, value)
		}
	}
	var queue wire.Queue
	if printed, err := c.get(wire.PathAdminQueue+"?"+query.Encode(), &queue); err != nil || printed {
		return err
	}
	return printQueue(os.Stdout, &queue)
}

// printQueue prints a queue as a table. With names of typical length it fits into 80 columns.
func printQueue(w io.Writer, queue *wire.Queue) error {
	columns := tabwriter.NewWriter(w, 0, 1, 2, ' ', 0)
	table := &textPrinter{w: columns}
	table.printf("PLACE\tJOB\tTEAM\tCLASS\tTASKS\tREASON\tFOR\n")
	for _, j := range queue.Jobs {
		position := "-"
		if j.Position > 0 {
			position = strconv.Itoa(j.Position)
		}
		pendingFor := formatSeconds(j.SinceS)
		table.printf("%s\t%s\t%s\t%s\t%d\t%s\t%s\n", position, j.ID, j.Team, j.Class, j.Waiting, j.Reason, pendingFor)
	}
	if err := errors.Join(table.err, columns.Flush()); err != nil {
		return err
	}
	total := &textPrinter{w: w}
	total.printf("%d tasks waiting", queue.Tasks)
	if queue.More > 0 {
		total.printf("; %d more jobs", queue.More)
	}
	total.printf("\n")
	return total.err
}
