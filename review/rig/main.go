// Command rig plays one case of the second review: it starts a small deployment on loopback, with the controllers as
// processes and stand-ins for everything else, does what the case names, and judges what clients and machines see. It
// exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves
// the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is how long a case may take; what is left of the 120 s is for ending the processes.
const limit = 118 * time.Second

// play is a case of the review: what it deploys, and what happens then. The verdict is true if the rule was broken; an
// error means that the case couldn't run.
type play struct {
	plan func() plan
	run  func(p *platform, trouble bool) (broken bool, err error)
}

var plays = map[string]play{
	"verdict":  {verdictPlan, playVerdict},
	"crowd":    {crowdPlan, playCrowd},
	"apart":    {apartPlan, playApart},
	"headroom": {headroomPlan, playHeadroom},
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to which what was sent, answered and run is written")
	flag.Parse()
	os.Exit(playCase(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func playCase(name, path string, trouble bool) int {
	chosen, ok := plays[name]
	if !ok {
		fmt.Printf("there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "fieldhill-review-")
	if err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left there is only logs and settings
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rec.say("case %s, disruption %v", name, trouble)
	p, err := deploy(ctx, rec, dir, chosen.plan())
	broken := false
	if err == nil {
		broken, err = chosen.run(p, trouble)
	}
	cancel()
	if p != nil {
		p.running.Wait()
	}
	if logs := os.Getenv("RIG_LOGS"); logs != "" {
		_ = os.CopyFS(logs, os.DirFS(dir))
	}
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
