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

// adminTarget is the admin API that a command talks to.
//
//nolint:lll // a struct tag cannot be broken over lines
type adminTarget struct {
	Addr    string        `name:"operate" env:"FIELDHILL_OPERATE" required:"" placeholder:"HOST:PORT" help:"A controller's address for operators."`
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
	JSON    bool          `help:"Print the answer as it came."`
}

// maxAdminBody is how many bytes of an answer of the admin API are read: it has room for a full queue.
const maxAdminBody = 1 << 20

// get decodes an answer into out, or prints it as it came and reports that it did.
func (a *adminTarget) get(path string, out any) (printed bool, err error) {
	resp, body, err := roundTrip(a.Addr, http.MethodGet, path, nil, a.Timeout, maxAdminBody)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		return false, adminRefusal(resp, body)
	}
	if a.JSON {
		_, err := os.Stdout.Write(body)
		return true, err
	}
	return false, json.Unmarshal(body, out)
}

// adminRefusal is the error for an answer other than 200; it is worth another try if the controller says when.
func adminRefusal(resp *http.Response, body []byte) error {
	text := resp.Status
	var problem wire.AdminProblem
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		text += ": " + problem.Error
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		return &exitError{exitRetry, text + "; ask again in " + after + " s"}
	}
	return &exitError{exitRefused, text}
}

// textPrinter prints lines and remembers the first error, so that a command ends with it rather than with half of its
// output and the exit code of success.
type textPrinter struct {
	w   io.Writer
	err error
}

func (p *textPrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// whyCmd explains why a job waits.
type whyCmd struct {
	adminTarget
	ID     string `arg:"" help:"The job's id."`
	WhatIf bool   `help:"Show for each reason what the next round would do without it."`
}

// Run carries out the command.
func (c *whyCmd) Run() error {
	var explanation wire.Explanation
	path := wire.PathAdminJobs + "/" + url.PathEscape(c.ID) + wire.WhySuffix
	if printed, err := c.get(path, &explanation); err != nil || printed {
		return err
	}
	return printExplanation(os.Stdout, &explanation, c.WhatIf)
}

// printExplanation prints why a job waits, the reasons that bind first.
func printExplanation(w io.Writer, e *wire.Explanation, whatIf bool) error {
	p := &textPrinter{w: w}
	p.printf("%s %s, %d tasks wait", e.ID, e.State, e.Waiting)
	if e.Starting > 0 {
		p.printf(", %d are starting", e.Starting)
	}
	if e.AgeS > 0 {
		p.printf(" (as %s knew %.0f s ago)", e.Node, e.AgeS)
	}
	p.printf("\n")
	if e.Waiting > 0 && e.AgeS == 0 {
		p.printf("The next round places %d of them.\n", e.WillPlace)
	}
	anyBinding := p.printReasons(e.Reasons, true, whatIf)
	p.printReasons(e.Reasons, false, whatIf)
	switch {
	case anyBinding:
		p.printf("Lifting any one of those with * would help.\n")
	case e.Waiting > e.WillPlace && len(e.Reasons) > 0:
		p.printf("Lifting none of them alone would help.\n")
	}
	for _, pair := range e.Pairs {
		p.printf("Together, but neither alone: %s and %s.\n", pair[0], pair[1])
	}
	if e.Partial {
		p.printf("Not all pairs were tried.\n")
	}
	p.printHistory(e.History)
	return p.err
}

// printReasons prints the reasons that bind, or those that do not, and reports whether there was one.
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
			p.printf("  %-13s without it: %d placed, %d of others stopped\n", "", r.PlacedWithout, r.PreemptedWithout)
		}
	}
	return found
}

// printHistory prints the reasons that the scheduler gave, the present one first: each ended when the one before it in
// the list began.
func (p *textPrinter) printHistory(history []wire.ReasonPeriod) {
	for i, period := range history {
		if i == 0 {
			p.printf("What the scheduler gave as its reason:\n")
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

// queueCmd lists the jobs that wait.
type queueCmd struct {
	adminTarget
	Team   string `help:"Only this team's jobs."`
	Class  string `help:"Only jobs of this class."`
	Reason string `help:"Only jobs that wait for this reason (a code, see docs/WHY.md)."`
	Most   int    `default:"50" help:"How many jobs to list, 1 to 500."`
}

// Run carries out the command.
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

// printQueue prints a queue, in 80 columns as long as names are of usual length.
func printQueue(w io.Writer, queue *wire.Queue) error {
	columns := tabwriter.NewWriter(w, 0, 1, 2, ' ', 0)
	table := &textPrinter{w: columns}
	table.printf("PLACE\tJOB\tTEAM\tCLASS\tTASKS\tREASON\tFOR\n")
	for _, j := range queue.Jobs {
		position := "-"
		if j.Position > 0 {
			position = strconv.Itoa(j.Position)
		}
		since := formatSeconds(j.SinceS)
		table.printf("%s\t%s\t%s\t%s\t%d\t%s\t%s\n", position, j.ID, j.Team, j.Class, j.Waiting, j.Reason, since)
	}
	if err := errors.Join(table.err, columns.Flush()); err != nil {
		return err
	}
	total := &textPrinter{w: w}
	total.printf("%d tasks wait", queue.Tasks)
	if queue.More > 0 {
		total.printf("; %d more jobs", queue.More)
	}
	total.printf("\n")
	return total.err
}
