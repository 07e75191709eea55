package main

import (
	"encoding/json"
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

// adminTarget is the operators' address that a command talks to.
type adminTarget struct {
	Addr    string        `name:"operate" env:"FIELDHILL_OPERATE" required:"" placeholder:"HOST:PORT" help:"A controller's address for operators."`
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
	JSON    bool          `help:"Print the answer as it came."`
}

// get reads an answer into out, or prints it as it came and tells so.
func (o *adminTarget) get(path string, out any) (printed bool, err error) {
	resp, b, err := roundTrip(o.Addr, http.MethodGet, path, nil, o.Timeout, 1<<20)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		var p wire.AdminProblem
		text := resp.Status
		if json.Unmarshal(b, &p) == nil && p.Error != "" {
			text += ": " + p.Error
		}
		if after := resp.Header.Get("Retry-After"); after != "" {
			return false, &exitError{exitRetry, text + "; ask again in " + after + " s"}
		}
		return false, &exitError{exitRefused, text}
	}
	if o.JSON {
		_, err := os.Stdout.Write(b)
		return true, err
	}
	return false, json.Unmarshal(b, out)
}

type whyCmd struct {
	adminTarget
	ID     string `arg:"" help:"The job's id."`
	WhatIf bool   `help:"Show for each reason what the next round would do without it."`
}

func (c *whyCmd) Run() error {
	var e wire.Explanation
	if printed, err := c.get(wire.PathAdminJobs+"/"+url.PathEscape(c.ID)+wire.WhySuffix, &e); err != nil || printed {
		return err
	}
	printExplanation(os.Stdout, &e, c.WhatIf)
	return nil
}

// printExplanation prints why a job waits, the reasons that bind first.
func printExplanation(w io.Writer, e *wire.Explanation, whatIf bool) {
	fmt.Fprintf(w, "%s %s, %d tasks wait", e.ID, e.State, e.Waiting)
	if e.Starting > 0 {
		fmt.Fprintf(w, ", %d are starting", e.Starting)
	}
	if e.AgeS > 0 {
		fmt.Fprintf(w, " (as %s knew %.0f s ago)", e.Node, e.AgeS)
	}
	fmt.Fprintln(w)
	if e.Waiting > 0 && e.AgeS == 0 {
		fmt.Fprintf(w, "The next round places %d of them.\n", e.WillPlace)
	}
	binds := false
	for _, bind := range []bool{true, false} {
		for i := range e.Reasons {
			r := &e.Reasons[i]
			if r.Binding != bind {
				continue
			}
			mark := " "
			if bind {
				mark, binds = "*", true
			}
			fmt.Fprintf(w, "%s %-13s %s\n", mark, r.Code, r.Text)
			if whatIf && (r.Binding || r.PlacedWithout > 0 || r.PreemptedWithout > 0) {
				fmt.Fprintf(
					w,
					"  %-13s without it: %d placed, %d of others stopped\n",
					"",
					r.PlacedWithout,
					r.PreemptedWithout,
				)
			}
		}
	}
	switch {
	case binds:
		fmt.Fprintln(w, "Lifting any one of those with * would help.")
	case e.Waiting > e.WillPlace && len(e.Reasons) > 0:
		fmt.Fprintln(w, "Lifting none of them alone would help.")
	}
	for _, p := range e.Pairs {
		fmt.Fprintf(w, "Together, but neither alone: %s and %s.\n", p[0], p[1])
	}
	if e.Partial {
		fmt.Fprintln(w, "Not all pairs were tried.")
	}
	for i, p := range e.History {
		if i == 0 {
			fmt.Fprintln(w, "What the scheduler gave as its reason:")
			fmt.Fprintf(w, "  %-13s for %s\n", p.Code, formatSeconds(p.SinceS))
			continue
		}
		fmt.Fprintf(
			w,
			"  %-13s for %s until %s ago\n",
			p.Code,
			formatSeconds(p.SinceS-e.History[i-1].SinceS),
			formatSeconds(e.History[i-1].SinceS),
		)
	}
}

func formatSeconds(s float64) string {
	return time.Duration(s * 1e9).Round(100 * time.Millisecond).String()
}

type queueCmd struct {
	adminTarget
	Team   string `help:"Only this team's jobs."`
	Class  string `help:"Only jobs of this class."`
	Reason string `help:"Only jobs that wait for this reason (a code, see docs/WHY.md)."`
	Most   int    `default:"50" help:"How many jobs to list, 1 to 500."`
}

func (c *queueCmd) Run() error {
	q := url.Values{"most": {strconv.Itoa(c.Most)}}
	for k, v := range map[string]string{"team": c.Team, "class": c.Class, "reason": c.Reason} {
		if v != "" {
			q.Set(k, v)
		}
	}
	var a wire.Queue
	if printed, err := c.get(wire.PathAdminQueue+"?"+q.Encode(), &a); err != nil || printed {
		return err
	}
	printQueue(os.Stdout, &a)
	return nil
}

// printQueue prints a queue, in 80 columns as long as names are of usual length.
func printQueue(w io.Writer, queue *wire.Queue) {
	table := tabwriter.NewWriter(w, 0, 1, 2, ' ', 0)
	fmt.Fprintln(table, "PLACE\tJOB\tTEAM\tCLASS\tTASKS\tREASON\tFOR")
	for _, j := range queue.Jobs {
		place := "-"
		if j.Position > 0 {
			place = strconv.Itoa(j.Position)
		}
		fmt.Fprintf(
			table,
			"%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			place,
			j.ID,
			j.Team,
			j.Class,
			j.Waiting,
			j.Reason,
			formatSeconds(j.SinceS),
		)
	}
	_ = table.Flush() // as any print to a terminal
	fmt.Fprintf(w, "%d tasks wait", queue.Tasks)
	if queue.More > 0 {
		fmt.Fprintf(w, "; %d more jobs", queue.More)
	}
	fmt.Fprintln(w)
}
