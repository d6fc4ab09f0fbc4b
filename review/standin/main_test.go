//go:build review

// Package review_test plays the cases of the review: it runs daemons as separate
// processes with stand-ins for the platform, its backend servers and their callers.
// It is built by review/build.sh and is no part of the default test run.
package review_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a whole case, below the 120 seconds that a script may take.
const maxRunTime = 100 * time.Second

// A playedCase runs against a deployment, with the disruption if the flag is set, and
// returns a verdict.
type playedCase func(c context.Context, d *deployment, o bool) (verdict, error)

// verdict is what a case has found: the number of violations that it counted and the
// greatest number that the rule allows.
type verdict struct {
	rule             string
	counted, allowed int
	summary          string
}

var errUsage = errors.New("usage: review CASE RECORD")

var cases = map[string]playedCase{
	"lost-answer":  playLostAnswer,
	"large-body":   playLargeBody,
	"raw-path":     playRawPath,
	"other-writer": playOtherWriter,
	"turned-away":  playTurnedAway,
}

// TestMain is the main function of the program. It runs no tests.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

func run(a []string) int {
	if len(a) != 2 || cases[a[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	r, e := newRecord(a[1])
	if e != nil {
		fmt.Fprintln(os.Stderr, e)
		return exitNotRun
	}
	defer r.close()
	c, n := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer n()
	c, f := context.WithTimeout(c, maxRunTime)
	defer f()
	o := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %t", a[0], o)
	d := newDeployment(r)
	defer d.close()
	v, e := cases[a[0]](c, d, o)
	if e == nil {
		e = c.Err()
	}
	if e != nil {
		r.line("could not run: %v", e)
		fmt.Println("could not run:", e)
		return exitNotRun
	}
	w := "held"
	if v.counted > v.allowed {
		w = "BROKEN"
	}
	s := fmt.Sprintf("%s %s: %d counted, %d allowed; %s", v.rule, w, v.counted, v.allowed, strings.TrimSpace(v.summary))
	r.line("%s", s)
	fmt.Println(s)
	if v.counted > v.allowed {
		return exitBroken
	}
	return exitHeld
}
