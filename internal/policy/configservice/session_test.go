package configservice_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// session holds the stores of the daemons in one golden file, by name, and the
// last reply for each document.
type session struct {
	stores  map[string]*configservice.Store
	replies map[string]*lavenderridge.PullReply
	now     time.Time
}

func (s *session) store(n string) *configservice.Store {
	if s.stores[n] == nil {
		s.stores[n] = configservice.NewStore(canonicalcbor.NewCodec())
	}
	return s.stores[n]
}

func (s *session) publish(n, doc string, v int, b []byte) string {
	o := configservice.Offer{Version: lavenderridge.Version(v), Origin: lavenderridge.OriginSource, Time: s.now}
	if doc == "catalogue" {
		c, f := configservice.CheckCatalogue(confighttp.Parser{}, b)
		if len(f) > 0 {
			s.store(n).RecordRejection(lavenderridge.DocumentCatalogue, o, f)
			return "rejected\n" + f.Error()
		}
		return resultText(s.store(n).OfferCatalogue(o, c))
	}
	l, f := configservice.CheckInstanceList(confighttp.Parser{}, b)
	if len(f) > 0 {
		s.store(n).RecordRejection(lavenderridge.DocumentInstanceList, o, f)
		return "rejected\n" + f.Error()
	}
	return resultText(s.store(n).OfferInstanceList(o, l))
}

func resultText(v configservice.OfferResult, e error) string {
	if e != nil {
		return v.String() + "\n" + e.Error()
	}
	return v.String()
}

func (s *session) pull(from, to, doc, damage string) string {
	d := lavenderridge.DocumentName(doc)
	r := s.store(from).Serve(d, s.store(to).Acceptance(d).Stamp)
	if r.Whole == nil && r.Delta == nil {
		return "nothing newer"
	}
	k := "whole"
	if r.Delta != nil {
		k = "delta"
	}
	switch damage {
	case "digest":
		r.Stamp.Digest[0]++
	case "truncate":
		r.Whole, r.Delta = r.Whole[:len(r.Whole)/2], r.Delta[:len(r.Delta)/2]
	case "base":
		r.Delta = s.replies[doc].Delta
	}
	s.replies[doc] = r
	v, e := s.store(to).OfferReply(d, lavenderridge.Origin(from), r, s.now)
	return fmt.Sprintf("%s: %s; digest error %t", k, strings.SplitN(resultText(v, e), "\n", 2)[0], configservice.IsDigestError(e))
}

func (s *session) status(n string) string {
	var b strings.Builder
	for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		a := s.store(n).Acceptance(d)
		fmt.Fprintf(&b, "%s %d from %q\n", d, a.Stamp.Version, a.Origin)
	}
	fmt.Fprintf(&b, "snapshot %t\n", s.store(n).Snapshot() != nil)
	for _, r := range s.store(n).Rejections() {
		fmt.Fprintf(&b, "rejected %s %d from %s, conflict %t, findings %d\n", r.Document, r.Version, r.Origin, r.Conflict, len(r.Findings))
	}
	return b.String()
}

// TestSessions publishes documents to stores, pulls them from one store to
// another, some of them damaged, and prints the results.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		s := &session{stores: map[string]*configservice.Store{}, replies: map[string]*lavenderridge.PullReply{}, now: time.Unix(1_000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, from, to, doc, damage string
			var v int
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "from", &from)
			d.MaybeScanArgs(t, "to", &to)
			d.MaybeScanArgs(t, "doc", &doc)
			d.MaybeScanArgs(t, "damage", &damage)
			d.MaybeScanArgs(t, "version", &v)
			switch d.Cmd {
			case "publish":
				return s.publish(at, doc, v, []byte(d.Input)) + "\n"
			case "pull":
				return s.pull(from, to, doc, damage) + "\n"
			case "status":
				return s.status(at)
			default:
				return "unknown command"
			}
		})
	})
}
