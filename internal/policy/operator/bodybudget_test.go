package operator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// budgetSession runs the commands of the golden file on a budget.
type budgetSession struct {
	budget   *operator.BodyBudget
	accounts map[string]*operator.BodyAccount
	mutex    sync.Mutex
	results  []string
}

func (s *budgetSession) account(n string) *operator.BodyAccount {
	if s.accounts[n] == nil {
		s.accounts[n] = s.budget.NewAccount()
	}
	return s.accounts[n]
}

// reserve begins to reserve memory and records the result when there is one.
func (s *budgetSession) reserve(t *testing.T, d *datadriven.TestData) {
	var n string
	var k int
	d.ScanArgs(t, "account", &n)
	d.ScanArgs(t, "KiB", &k)
	b := lavenderridge.ByteCount(k) * lavenderridge.Kibibyte
	a, f, p := s.account(n), (*operator.BodyAccount).ReserveRequest, "request"
	if d.Cmd == "response" {
		f, p = (*operator.BodyAccount).ReserveResponse, "response"
	}
	begin := time.Now()
	go func() {
		c, g := context.WithTimeout(context.Background(), 2*time.Second)
		defer g()
		e := f(a, c, b)
		r := "has its memory"
		switch {
		case errors.Is(e, operator.ErrBodyTooLarge):
			r = "is too large"
		case e != nil:
			r = "gets none"
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.results = append(s.results, fmt.Sprintf("%s %s %s after %s", p, n, r, time.Since(begin)))
	}()
}

func (s *budgetSession) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "budget":
		var m int
		d.ScanArgs(t, "MiB", &m)
		s.budget, s.accounts = operator.NewBodyBudget(lavenderridge.ByteCount(m)*lavenderridge.Mebibyte), map[string]*operator.BodyAccount{}
		return fmt.Sprintf("largest request %d, largest response %d\n", s.budget.LargestRequest(1<<40), s.budget.LargestResponse(1<<40))
	case "request", "response":
		s.reserve(t, d)
	case "close":
		for _, n := range d.CmdArgs[0].Vals {
			s.account(n).Close()
		}
	case "advance":
		v, e := time.ParseDuration(d.CmdArgs[0].Key)
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		time.Sleep(v)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	synctest.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.results
	s.results = nil
	slices.Sort(r)
	return strings.Join(append(r, fmt.Sprintf("%d KiB in use", s.budget.Used()/lavenderridge.Kibibyte)), "\n") + "\n"
}

// TestBodyBudget plays requests and responses that need more memory than there is.
func TestBodyBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &budgetSession{}
		datadriven.RunTest(t, "testdata/bodybudget", s.run)
	})
}

// TestBodyMemoryStaysWithinItsBudget reserves and gives back memory in random order and
// checks that it stays within the budget, that nobody waits while there is room for all,
// and that everything comes back.
func TestBodyMemoryStaysWithinItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 100 * lavenderridge.Mebibyte
		b := operator.NewBodyBudget(budget)
		c, f := context.WithCancel(context.Background())
		type body struct {
			account *operator.BodyAccount
			done    chan error
		}
		var a []body
		for range rapid.IntRange(1, 30).Draw(t, "bodies") {
			v := body{account: b.NewAccount(), done: make(chan error, 1)}
			n := lavenderridge.ByteCount(rapid.IntRange(64, 30<<10).Draw(t, "KiB")) * lavenderridge.Kibibyte
			go func() { v.done <- v.account.ReserveResponse(c, n) }()
			a = append(a, v)
			if u := b.Used(); u > budget {
				t.Fatalf("%d bytes in use", u)
			}
			if rapid.Bool().Draw(t, "close") {
				a[rapid.IntRange(0, len(a)-1).Draw(t, "account")].account.Close()
			}
		}
		if rapid.Bool().Draw(t, "give up") {
			f()
		}
		for i := range a {
			a[i].account.Close()
		}
		for i := range a {
			// An account that was closed first gives back at once what it gets later.
			select {
			case e := <-a[i].done:
				if e != nil && !errors.Is(e, context.Canceled) {
					t.Fatal(e)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("a body still waits although nobody holds memory")
			}
		}
		f()
		if u := b.Used(); u != 0 {
			t.Fatalf("%d bytes in use at the end", u)
		}
	})
}
