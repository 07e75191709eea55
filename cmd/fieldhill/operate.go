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

// operator is the operators' address that a command talks to.
type operator struct {
	At      string        `name:"operate" env:"FIELDHILL_OPERATE" required:"" placeholder:"HOST:PORT" help:"A controller's address for operators."`
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
	JSON    bool          `help:"Print the answer as it came."`
}

// ask reads an answer into out, or prints it as it came and tells so.
func (o *operator) ask(path string, out any) (printed bool, err error) {
	resp, b, err := exchange(o.At, http.MethodGet, path, nil, o.Timeout, 1<<20)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		var p wire.OpProblem
		text := resp.Status
		if json.Unmarshal(b, &p) == nil && p.Error != "" {
			text += ": " + p.Error
		}
		if after := resp.Header.Get("Retry-After"); after != "" {
			return false, &failure{exitLater, text + "; ask again in " + after + " s"}
		}
		return false, &failure{exitRefused, text}
	}
	if o.JSON {
		_, err := os.Stdout.Write(b)
		return true, err
	}
	return false, json.Unmarshal(b, out)
}

type whyCmd struct {
	operator
	ID     string `arg:"" help:"The job's id."`
	WhatIf bool   `help:"Show for each reason what the next round would do without it."`
}

func (c *whyCmd) Run() error {
	var e wire.Explanation
	if printed, err := c.ask(wire.PathOpJobs+"/"+url.PathEscape(c.ID)+wire.WhySuffix, &e); err != nil || printed {
		return err
	}
	explained(os.Stdout, &e, c.WhatIf)
	return nil
}

// explained prints why a job waits, the reasons that bind first.
func explained(w io.Writer, e *wire.Explanation, whatIf bool) {
	fmt.Fprintf(w, "%s %s, %d tasks wait", e.ID, e.State, e.Waiting)
	if e.Starting > 0 {
		fmt.Fprintf(w, ", %d are starting", e.Starting)
	}
	if e.AgeS > 0 {
		fmt.Fprintf(w, " (as %s knew %.0f s ago)", e.Node, e.AgeS)
	}
	fmt.Fprintln(w)
	if e.Waiting > 0 && e.AgeS == 0 {
		fmt.Fprintf(w, "The next round places %d of them.\n", e.Places)
	}
	binds := false
	for _, bind := range []bool{true, false} {
		for i := range e.Reasons {
			r := &e.Reasons[i]
			if r.Binds != bind {
				continue
			}
			mark := " "
			if bind {
				mark, binds = "*", true
			}
			fmt.Fprintf(w, "%s %-13s %s\n", mark, r.Code, r.Text)
			if whatIf && (r.Binds || r.Gains > 0 || r.Stops > 0) {
				fmt.Fprintf(w, "  %-13s without it: %d placed, %d of others stopped\n", "", r.Gains, r.Stops)
			}
		}
	}
	switch {
	case binds:
		fmt.Fprintln(w, "Lifting any one of those with * would help.")
	case e.Waiting > e.Places && len(e.Reasons) > 0:
		fmt.Fprintln(w, "Lifting none of them alone would help.")
	}
	for _, p := range e.Together {
		fmt.Fprintf(w, "Together, but neither alone: %s and %s.\n", p[0], p[1])
	}
	if e.Partial {
		fmt.Fprintln(w, "Not all pairs were tried.")
	}
	for i, p := range e.Past {
		if i == 0 {
			fmt.Fprintln(w, "What the scheduler gave as its reason:")
			fmt.Fprintf(w, "  %-13s for %s\n", p.Code, seconds(p.SinceS))
			continue
		}
		fmt.Fprintf(w, "  %-13s for %s until %s ago\n", p.Code, seconds(p.SinceS-e.Past[i-1].SinceS), seconds(e.Past[i-1].SinceS))
	}
}

func seconds(s float64) string { return time.Duration(s * 1e9).Round(100 * time.Millisecond).String() }

type queueCmd struct {
	operator
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
	if printed, err := c.ask(wire.PathOpQueue+"?"+q.Encode(), &a); err != nil || printed {
		return err
	}
	listed(os.Stdout, &a)
	return nil
}

// listed prints a queue, in 80 columns as long as names are of usual length.
func listed(w io.Writer, a *wire.Queue) {
	t := tabwriter.NewWriter(w, 0, 1, 2, ' ', 0)
	fmt.Fprintln(t, "PLACE\tJOB\tTEAM\tCLASS\tTASKS\tREASON\tFOR")
	for _, j := range a.Jobs {
		place := "-"
		if j.Place > 0 {
			place = strconv.Itoa(j.Place)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", place, j.ID, j.Team, j.Class, j.Waiting, j.Reason, seconds(j.SinceS))
	}
	_ = t.Flush() // as any print to a terminal
	fmt.Fprintf(w, "%d tasks wait", a.Tasks)
	if a.More > 0 {
		fmt.Fprintf(w, "; %d more jobs", a.More)
	}
	fmt.Fprintln(w)
}
