// Command play runs one case of the review: a deployment of controllers as processes among stand-ins on loopback, with
// a disruption or, with TROUBLE=0, without it. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"fieldhill/internal/emulator"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNoCopies is the error of a case in which no copy of a command was carried out.
var errNoCopies = errors.New("no copies of commands were executed")

// limit is the time after which a case counts as one that could not run.
const limit = 118 * time.Second

// caseFunc plays a case and reports whether its rule was broken.
type caseFunc func(s *session) (broken bool, err error)

// session is one run of a case.
type session struct {
	ctx     context.Context // ends when the case is out of time or interrupted
	rec     *record
	trouble bool // bring about the disruption
	copies  emulator.CommandCopyCounts
}

var cases = map[string]caseFunc{
	"1": taskWithoutNeeds,
	"2": leftWaiting,
	"3": cancelledOnHungMachine,
	"4": copiedCommands,
	"5": repeatedSubmissions,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble: %v", os.Args[1], trouble)
	s := &session{ctx: ctx, rec: rec, trouble: trouble}
	broken, err := cases[os.Args[1]](s)
	if err == nil && s.copies.Executed == 0 {
		err = errNoCopies
	}
	switch {
	case broken:
		rec.line("the rule was BROKEN")
		return exitBroken
	case err != nil:
		rec.line("the case could not run: %v", err)
		return exitNotRun
	}
	rec.line("the rule held")
	return exitHeld
}
