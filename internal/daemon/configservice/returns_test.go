package configservice_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// gossipInterval is how often the daemons of a returnFleet exchange versions.
const gossipInterval = 100 * time.Millisecond

var errCut = errors.New("cut off")

// returnDaemon is a follower of a source that can be cut from it and from the other
// daemons.
type returnDaemon struct {
	lavenderridge.FactSource
	id       lavenderridge.InstanceID
	store    *policy.Store
	acceptor *configservice.Acceptor
	contact  *policy.SourceContact
	metrics  metrics.Registry
	gate     *policy.ReadinessGate
	// cutSource and cutPeers cut the daemon off; frozen makes its calls wait as well.
	cutSource, cutPeers, frozen atomic.Bool
	// statedEra replaces the era of the responses if it is not negative.
	statedEra atomic.Int64
	stop      func()
}

// answer returns the page p, or none while the daemon is cut from the source.
func (d *returnDaemon) answer(c context.Context, p *lavenderridge.FactPage, e error) (*lavenderridge.FactPage, error) {
	for d.frozen.Load() {
		if x := lavenderridge.Sleep(c, gossipInterval); x != nil {
			return nil, x
		}
	}
	if d.cutSource.Load() {
		return nil, errCut
	}
	if n := d.statedEra.Load(); n >= 0 && e == nil {
		q := *p
		q.Era = lavenderridge.Era(n)
		return &q, nil
	}
	return p, e
}

// List implements lavenderridge.FactSource.
func (d *returnDaemon) List(c context.Context, k lavenderridge.FactKey) (*lavenderridge.FactPage, error) {
	if d.cutSource.Load() {
		return nil, errCut
	}
	p, e := d.FactSource.List(c, k)
	return d.answer(c, p, e)
}

// Watch implements lavenderridge.FactSource.
func (d *returnDaemon) Watch(c context.Context, r lavenderridge.Revision, w time.Duration) (*lavenderridge.FactPage, error) {
	if d.cutSource.Load() {
		return nil, errCut
	}
	p, e := d.FactSource.Watch(c, r, w)
	return d.answer(c, p, e)
}

// returnFleet is a fleet of daemons that follow one source and exchange versions.
type returnFleet struct {
	source  *factsource.Source
	daemons []*returnDaemon
	lists   int
	// hideConflicts is true if conflicts are not shown, because which daemons see one
	// depends on chance.
	hideConflicts bool
	// spread is the number of data centres over which the daemons are spread.
	spread int
	// log receives the log lines of the followers started from now on, or is nil.
	log zapcore.Core
	// onStep is called after each interval of gossip.
	onStep func()
}

// dataCentre returns the data centre of the daemon n.
func (f *returnFleet) dataCentre(n lavenderridge.InstanceID) lavenderridge.DataCentreID {
	return [...]lavenderridge.DataCentreID{"kyu-a", "kyu-c", "kyu-d"}[int(n[0]-'a')%max(f.spread, 1)]
}

func (f *returnFleet) start(t *testing.T, n lavenderridge.InstanceID) {
	t.Helper()
	k := assembly.SystemClock{}
	d := &returnDaemon{FactSource: f.source, id: n, store: policy.NewStore(canonicalcbor.NewCodec()), contact: policy.NewSourceContact(k.Now()), gate: policy.NewReadinessGate(k.Now()), metrics: metrics.NewRegistry()}
	d.statedEra.Store(-1)
	d.acceptor = configservice.NewAcceptor(d.store, confighttp.Parser{}, k, discardRecorder{}, zap.NewNop())
	v := configservice.NewFollower(d, d.store, d.acceptor, d.gate, d.contact, k, f.logger(), n, f.dataCentre(n), d.contact.HeardFollowing, d.metrics, configservice.WithFollowerApply(policy.NewApplyPlan(configApply)))
	c, x := context.WithCancel(t.Context())
	w := make(chan error, 1)
	go func() { w <- v.Run(c) }()
	d.stop = func() {
		x()
		if e := <-w; e != nil {
			t.Error(e)
		}
	}
	f.daemons = append(f.daemons, d)
}

func (f *returnFleet) logger() *zap.Logger {
	if f.log == nil {
		return zap.NewNop()
	}
	return zap.New(f.log)
}

func (f *returnFleet) daemon(n string) *returnDaemon {
	i := slices.IndexFunc(f.daemons, func(d *returnDaemon) bool { return string(d.id) == n })
	return f.daemons[i]
}

// advance lets the time d pass, in which the daemons exchange versions.
func (f *returnFleet) advance(d time.Duration) {
	for e := time.Now().Add(d); time.Now().Before(e); {
		for _, a := range f.daemons {
			if !a.frozen.Load() {
				a.gate.Heartbeat(time.Now())
			}
			for _, b := range f.daemons {
				f.exchange(a, b)
			}
		}
		time.Sleep(min(gossipInterval, time.Until(e)))
		synctest.Wait()
		if f.onStep != nil {
			f.onStep()
		}
	}
}

// exchange makes a learn what b has.
func (f *returnFleet) exchange(a, b *returnDaemon) {
	if a == b || a.cutPeers.Load() || b.cutPeers.Load() || a.frozen.Load() || b.frozen.Load() {
		return
	}
	t := time.Now()
	if v := b.contact.Following(b.id, t); v.By != "" && v.By != a.id {
		a.contact.PeerFollows(v, t)
	}
	a.contact.PeerReported(b.contact.ReportedAge(t), t)
	s := b.store.Stamps()
	a.acceptor.PeerContacted(lavenderridge.Sender{Instance: b.id, Stamps: s})
	for _, n := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		if o := a.store.Stamps().Of(n); s.Of(n).Version > o.Version {
			_, _ = a.acceptor.OfferPulled(n, lavenderridge.Origin(b.id), b.store.Serve(n, o))
		}
	}
}

// put publishes the fact of the line l: "KEY catalogue VERSION CONTENT",
// "KEY evacuated DATACENTRE" or "KEY INSTANCE [leaving] [START]".
func (f *returnFleet) put(l string) lavenderridge.Revision {
	w := strings.Fields(l)
	v := lavenderridge.Fact{Key: lavenderridge.FactKey(w[0])}
	switch w[1] {
	case "catalogue":
		v.Catalogue = &lavenderridge.PublishedCatalogue{Catalogue: &lavenderridge.Catalogue{
			DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: lavenderridge.RegionID(w[3]), State: lavenderridge.InService}},
		}}
		_, _ = fmt.Sscan(w[2], &v.Catalogue.Version)
	case "evacuated":
		v.Evacuated = lavenderridge.DataCentreID(w[2])
	default:
		n := &lavenderridge.Instance{ID: lavenderridge.InstanceID(w[1]), DataCentre: "kyu-b", Service: "roster", Peer: "10.0.0.1:7620", State: lavenderridge.InstanceLive, Slots: 9}
		if len(w[1]) == 1 {
			n.DataCentre = f.dataCentre(n.ID) // a daemon runs beside it
		}
		t := "1000"
		for _, o := range w[2:] {
			if o == "leaving" {
				n.State = lavenderridge.InstanceLeaving
			} else {
				t = o
			}
		}
		n.Backend = lavenderridge.BackendID(w[0] + "#" + t)
		v.Instance = n
	}
	return f.source.Put(v)
}

// view describes what the daemon d uses.
func (d *returnDaemon) view(hide bool) string {
	s := d.store.Snapshot()
	if s == nil {
		return "nothing"
	}
	var b strings.Builder
	for _, n := range s.List.Instances {
		_, t, _ := strings.Cut(string(n.Backend), "#")
		fmt.Fprintf(&b, "%s", n.ID)
		if t != "1000" {
			fmt.Fprintf(&b, "@%s", n.Backend)
		}
		if n.State == lavenderridge.InstanceLeaving {
			b.WriteString("(leaving)")
		}
		b.WriteByte(' ')
	}
	for _, z := range s.List.Evacuated {
		fmt.Fprintf(&b, "evacuated:%s ", z)
	}
	fmt.Fprintf(&b, "catalogue %d %s", s.Versions().Catalogue, s.Catalogue.DataCentres[0].Region)
	for _, r := range d.store.Rejections() {
		if r.Conflict && !hide {
			fmt.Fprintf(&b, ", conflict of %s from %s", r.Document, r.Origin)
		}
	}
	return b.String()
}

// show prints what the daemons use, those that use the same on one line.
func (f *returnFleet) show() string {
	var l []string
	m := map[string]string{}
	for _, d := range f.daemons {
		v := d.view(f.hideConflicts)
		if m[v] == "" {
			l = append(l, v)
		}
		m[v] += string(d.id) + " "
	}
	var b strings.Builder
	for _, v := range l {
		fmt.Fprintf(&b, "%s: %s\n", strings.TrimSpace(m[v]), v)
	}
	return b.String()
}

func (f *returnFleet) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	w := strings.Fields(d.Cmd + " " + strings.TrimSpace(argumentText(d)))
	switch d.Cmd {
	case "start":
		for l := range strings.Lines(d.Input) {
			f.put(l)
		}
		for _, n := range w[1:] {
			f.start(t, lavenderridge.InstanceID(n))
		}
		f.advance(3 * time.Second)
		f.lists = f.source.Lists()
	case "restart":
		for _, n := range w[1:] {
			f.daemon(n).stop()
			f.daemons = slices.DeleteFunc(f.daemons, func(v *returnDaemon) bool { return string(v.id) == n })
			f.start(t, lavenderridge.InstanceID(n))
		}
	case "put":
		for l := range strings.Lines(d.Input) {
			f.put(l)
		}
		return ""
	case "delete":
		for _, k := range w[1:] {
			f.source.Delete(lavenderridge.FactKey(k))
		}
		return ""
	case "hide-conflicts":
		f.hideConflicts = true
		return ""
	case "copy":
		f.source.Copy()
		return ""
	case "return":
		f.source.SetDown(true)
		f.source.Return()
		return ""
	case "up":
		f.source.SetDown(false)
		return ""
	case "down":
		f.source.SetDown(true)
		return ""
	case "cut", "heal", "freeze":
		v := f.daemon(w[1])
		v.cutSource.Store(d.Cmd == "cut" && w[2] != "peers")
		v.cutPeers.Store(d.Cmd == "cut" && w[2] != "source")
		v.frozen.Store(d.Cmd == "freeze")
		return ""
	case "era": // the era that a daemon's responses state from now on
		var n int64
		_, _ = fmt.Sscan(w[2], &n)
		f.daemon(w[1]).statedEra.Store(n)
		return ""
	case "advance":
		v, e := time.ParseDuration(w[1])
		if e != nil {
			d.Fatalf(t, "%v", e)
		}
		f.advance(v)
	case "gates":
		var b strings.Builder
		for _, d := range f.daemons {
			fmt.Fprintf(&b, "%s: open %t\n", d.id, d.gate.IsOpen())
		}
		return b.String()
	case "versions":
		var b strings.Builder
		for _, n := range slices.SortedFunc(slices.Values(f.daemons), func(a, b *returnDaemon) int { return strings.Compare(string(a.id), string(b.id)) }) {
			v := n.store.Stamps().Versions()
			fmt.Fprintf(&b, "%s: %s %d\n", n.id, policy.FormatListVersion(v.InstanceList), v.Catalogue)
		}
		return b.String()
	case "lists":
		n := f.source.Lists()
		f.lists, n = n, n-f.lists
		return fmt.Sprintf("%d listings\n", n)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return f.show()
}

// argumentText returns the arguments of the command d, separated by spaces.
func argumentText(d *datadriven.TestData) string {
	var a []string
	for _, v := range d.CmdArgs {
		a = append(a, v.Key)
	}
	return strings.Join(a, " ")
}

// TestReturnFromCopy guards against a source that comes back from an older copy of
// itself: its revisions go back and are given out again, and what it has acknowledged in
// the meantime is missing until it is written again. Each file is one case.
func TestReturnFromCopy(t *testing.T) {
	datadriven.Walk(t, "testdata/returns", func(t *testing.T, p string) {
		synctest.Test(t, func(t *testing.T) {
			f := &returnFleet{source: factsource.NewSource()}
			f.source.SetEra(1)
			datadriven.RunTest(t, p, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "first-era" {
					var n uint64
					_, _ = fmt.Sscan(d.CmdArgs[0].Key, &n)
					f.source.SetEra(lavenderridge.Era(n))
					return ""
				}
				return f.run(t, d)
			})
			for _, d := range f.daemons {
				d.stop()
			}
		})
	})
}

// TestReturnCausesNoStorm guards against a fleet that lists all facts at once when the
// source returns. Each reader lists once, logs one line and counts one return, and
// afterwards there are no more calls than before.
func TestReturnCausesNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 20 * time.Second
		k, o := observer.New(zap.WarnLevel)
		f := &returnFleet{source: factsource.NewSource(), spread: 3, log: k}
		f.source.SetEra(1)
		f.put("catalogue catalogue 1 x")
		for c := 'a'; c <= 'z'; c++ {
			f.put(fmt.Sprintf("s/%c %c", c, c))
			f.start(t, lavenderridge.InstanceID(string(c)))
		}
		f.advance(5 * time.Second)
		f.source.Copy()
		f.put("s/one one")
		b := f.source.Calls()
		f.advance(span)
		b = f.source.Calls() - b
		f.source.SetDown(true)
		f.source.Return()
		f.advance(500 * time.Millisecond)
		f.source.SetDown(false)
		f.put("s/two two")
		n, l := f.source.Calls(), f.source.Lists()
		f.advance(span)
		n, l = f.source.Calls()-n, f.source.Lists()-l
		const readers, pages = 6, 10
		if l != readers {
			t.Errorf("%d listings after a return; want one of each of %d readers", l, readers)
		}
		// Each listing, which has 10 pages, replaces no watch, and chance varies the
		// waits of watches.
		if n > b+b/4+readers*pages {
			t.Errorf("%d calls in %s after a return and %d before; want at most a quarter more besides the listings", n, span, b)
		}
		var m int64
		for _, d := range f.daemons {
			m += d.metrics.Get("SourceReturns").(metrics.Counter).Count()
		}
		if v := o.FilterMessage("SourceReturned").Len(); v != readers || m != readers {
			t.Errorf("%d log lines and %d counted returns; want %d of each", v, m, readers)
		}
		t.Logf("calls in %s: %d before, %d after, with %d listings", span, b, n, l)
		for _, d := range f.daemons {
			d.stop()
		}
	})
}
