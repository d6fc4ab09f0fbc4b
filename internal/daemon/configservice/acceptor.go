package configservice

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// An Acceptor offers documents to the store and reports what became of them.
type Acceptor struct {
	store    *configservice.Store
	parser   lavenderridge.Parser
	clock    lavenderridge.Clock
	recorder lavenderridge.Recorder
	log      *zap.Logger
}

// NewAcceptor returns an acceptor for the store s that reads published text
// with p and reports to r and l.
func NewAcceptor(s *configservice.Store, p lavenderridge.Parser, k lavenderridge.Clock, r lavenderridge.Recorder, l *zap.Logger) *Acceptor {
	return &Acceptor{store: s, parser: p, clock: k, recorder: r, log: l}
}

// Published offers a document as the configuration service holds it.
func (a *Acceptor) Published(d *lavenderridge.Document) configservice.Verdict {
	o := configservice.Offer{Version: d.Version, Origin: lavenderridge.OriginSource, Time: a.clock.Now()}
	if h := a.store.Acceptance(d.Name).Stamp; d.Version < h.Version {
		return configservice.VerdictOlder
	}
	v, e := a.published(o, d)
	a.report(d.Name, o, v, e)
	return v
}

func (a *Acceptor) published(o configservice.Offer, d *lavenderridge.Document) (configservice.Verdict, error) {
	if d.Name == lavenderridge.DocumentCatalogue {
		c, f := configservice.CheckCatalogue(a.parser, d.Body)
		if len(f) == 0 {
			return a.store.OfferCatalogue(o, c)
		}
		a.store.Reject(d.Name, o, f)
		return configservice.VerdictRejected, f
	}
	l, f := configservice.CheckInstanceList(a.parser, d.Body)
	if len(f) == 0 {
		return a.store.OfferInstanceList(o, l)
	}
	a.store.Reject(d.Name, o, f)
	return configservice.VerdictRejected, f
}

// Read offers the catalogue p as the platform publishes it.
func (a *Acceptor) Read(p *lavenderridge.PublishedCatalogue) {
	a.offer(lavenderridge.DocumentCatalogue, p.Version, func(o configservice.Offer) (configservice.Verdict, error) {
		return a.store.OfferCatalogue(o, p.Catalogue)
	})
}

// Listed offers the instance list l of the version n.
func (a *Acceptor) Listed(l *lavenderridge.InstanceList, n lavenderridge.Version) {
	a.offer(lavenderridge.DocumentInstanceList, n, func(o configservice.Offer) (configservice.Verdict, error) {
		return a.store.OfferInstanceList(o, l)
	})
}

// offer makes the offer f of the version n of the document d, unless that is in
// force already.
func (a *Acceptor) offer(d lavenderridge.DocumentName, n lavenderridge.Version, f func(o configservice.Offer) (configservice.Verdict, error)) {
	if n <= a.store.Acceptance(d).Stamp.Version {
		return
	}
	o := configservice.Offer{Version: n, Origin: lavenderridge.OriginSource, Time: a.clock.Now()}
	v, e := f(o)
	a.report(d, o, v, e)
}

// Pulled offers the document d as the peer of the origin g sent it.
func (a *Acceptor) Pulled(d lavenderridge.DocumentName, g lavenderridge.Origin, p *lavenderridge.PullReply) (configservice.Verdict, error) {
	o := configservice.Offer{Version: p.Stamp.Version, Origin: g, Time: a.clock.Now()}
	v, e := a.store.OfferReply(d, g, p, o.Time)
	a.report(d, o, v, e)
	return v, e
}

func (a *Acceptor) report(d lavenderridge.DocumentName, o configservice.Offer, v configservice.Verdict, e error) {
	n := v.String()
	if v == configservice.VerdictSame || v == configservice.VerdictOlder {
		return
	}
	r := "from " + string(o.Origin)
	if e != nil {
		r = fmt.Sprintf("%s: %v", r, e)
	}
	q := lavenderridge.Decision{Time: o.Time, Event: n, Subject: fmt.Sprintf("%s %d", d, o.Version), Reason: r}
	if s := a.store.Snapshot(); s != nil {
		q.Versions = s.Versions()
	}
	a.recorder.Record(q)
	f := []zap.Field{zap.String("Document", string(d)), zap.Uint64("Version", uint64(o.Version)), zap.String("Origin", string(o.Origin))}
	if v == configservice.VerdictAccepted {
		a.log.Info(n, f...)
		return
	}
	a.log.Error(n, append(f, zap.Error(e))...)
}

// Heard reports a daemon that has a version in force with another digest than
// here. It does nothing else, because only the source can settle that.
func (a *Acceptor) Heard(s lavenderridge.Sender) {
	for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		o := configservice.Offer{Version: s.Stamps.Of(d).Version, Origin: lavenderridge.Origin(s.Instance), Time: a.clock.Now()}
		if a.store.Conflicts(d, o, s.Stamps.Of(d)) {
			a.report(d, o, configservice.VerdictConflict, nil)
		}
	}
}
