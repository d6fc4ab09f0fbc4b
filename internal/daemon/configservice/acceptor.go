package configservice

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// An Acceptor offers documents to the store, and records and logs the results.
type Acceptor struct {
	store    *configservice.Store
	parser   lavenderridge.Parser
	clock    lavenderridge.Clock
	recorder lavenderridge.Recorder
	log      *zap.Logger
	// onConflict is called when a neighbour has other content of the accepted
	// catalogue's version.
	onConflict func()
}

// NewAcceptor returns an acceptor for the store s. It parses published text with
// p, records decisions in r and logs to l.
func NewAcceptor(s *configservice.Store, p lavenderridge.Parser, k lavenderridge.Clock, r lavenderridge.Recorder, l *zap.Logger) *Acceptor {
	return &Acceptor{store: s, parser: p, clock: k, recorder: r, log: l, onConflict: func() {}}
}

// OnCatalogueConflict makes the acceptor call f when a neighbour has other content of the
// accepted catalogue's version. It is called before the first message from one.
func (a *Acceptor) OnCatalogueConflict(f func()) {
	a.onConflict = f
}

// OfferPublished parses, validates and offers the document d, whose body is text
// from the configuration service.
func (a *Acceptor) OfferPublished(d *lavenderridge.Document) configservice.OfferResult {
	o := configservice.Offer{Version: d.Version, Origin: lavenderridge.OriginSource, Time: a.clock.Now()}
	if h := a.store.Acceptance(d.Name).Stamp; d.Version < h.Version {
		return configservice.OfferOlder
	}
	v, e := a.checkAndOffer(o, d)
	a.report(d.Name, o, v, e)
	return v
}

// checkAndOffer offers the document d to the store, or records its rejection if
// it is invalid.
func (a *Acceptor) checkAndOffer(o configservice.Offer, d *lavenderridge.Document) (configservice.OfferResult, error) {
	if d.Name == lavenderridge.DocumentCatalogue {
		c, f := configservice.CheckCatalogue(a.parser, d.Body)
		if len(f) == 0 {
			return a.store.OfferCatalogue(o, c)
		}
		a.store.RecordRejection(d.Name, o, f)
		return configservice.OfferRejected, f
	}
	l, f := configservice.CheckInstanceList(a.parser, d.Body)
	if len(f) == 0 {
		return a.store.OfferInstanceList(o, l)
	}
	a.store.RecordRejection(d.Name, o, f)
	return configservice.OfferRejected, f
}

// OfferCatalogue offers the catalogue p that was published at the source.
func (a *Acceptor) OfferCatalogue(p *lavenderridge.PublishedCatalogue) {
	a.offer(lavenderridge.DocumentCatalogue, p.Version, func(o configservice.Offer) (configservice.OfferResult, error) {
		return a.store.OfferCatalogue(o, p.Catalogue)
	})
}

// DecideCatalogue puts the catalogue p in force if it has the accepted version but other
// content. The source, which has published p, has lost the accepted one, and p is the
// operators' later word.
func (a *Acceptor) DecideCatalogue(p *lavenderridge.PublishedCatalogue) {
	o := configservice.Offer{Version: p.Version, Origin: lavenderridge.OriginSource, Time: a.clock.Now(), Decides: true}
	if p.Version != a.store.Acceptance(lavenderridge.DocumentCatalogue).Stamp.Version {
		return
	}
	v, e := a.store.OfferCatalogue(o, p.Catalogue)
	a.report(lavenderridge.DocumentCatalogue, o, v, e)
}

// OfferInstanceList offers the instance list l with the version n that was built
// from the facts of the source.
func (a *Acceptor) OfferInstanceList(l *lavenderridge.InstanceList, n lavenderridge.Version) {
	a.offer(lavenderridge.DocumentInstanceList, n, func(o configservice.Offer) (configservice.OfferResult, error) {
		return a.store.OfferInstanceList(o, l)
	})
}

// offer calls f to offer the version n of the document d and reports the result,
// unless that version or a newer one has been accepted. A rejection is reported once,
// although the version is offered again after each call to the source.
func (a *Acceptor) offer(d lavenderridge.DocumentName, n lavenderridge.Version, f func(o configservice.Offer) (configservice.OfferResult, error)) {
	if n <= a.store.Acceptance(d).Stamp.Version {
		return
	}
	o := configservice.Offer{Version: n, Origin: lavenderridge.OriginSource, Time: a.clock.Now()}
	r := a.store.HasRejection(d, o)
	v, e := f(o)
	if !r || v != configservice.OfferRejected {
		a.report(d, o, v, e)
	}
}

// OfferPulled offers the document d that was pulled from the neighbour g as p.
func (a *Acceptor) OfferPulled(d lavenderridge.DocumentName, g lavenderridge.Origin, p *lavenderridge.PullReply) (configservice.OfferResult, error) {
	o := configservice.Offer{Version: p.Stamp.Version, Origin: g, Time: a.clock.Now()}
	v, e := a.store.OfferReply(d, g, p, o.Time)
	a.report(d, o, v, e)
	return v, e
}

// report records and logs the result v of the offer o. Versions that are not new
// are not reported.
func (a *Acceptor) report(d lavenderridge.DocumentName, o configservice.Offer, v configservice.OfferResult, e error) {
	n := v.String()
	if v == configservice.OfferSame || v == configservice.OfferOlder {
		return
	}
	r := "from " + string(o.Origin)
	if e != nil {
		r = fmt.Sprintf("%s: %v", r, e)
	}
	q := lavenderridge.Decision{Time: o.Time, Event: n, Subject: subject(d, o.Version), Reason: r}
	if s := a.store.Snapshot(); s != nil {
		q.Versions = s.Versions()
	}
	a.recorder.Record(q)
	f := []zap.Field{zap.String("Document", string(d)), zap.Uint64("Version", uint64(o.Version)), zap.String("Origin", string(o.Origin))}
	if v == configservice.OfferAccepted {
		a.log.Info(n, f...)
		return
	}
	a.log.Error(n, append(f, zap.Error(e))...)
}

// subject names the version v of the document d in decisions.
func subject(d lavenderridge.DocumentName, v lavenderridge.Version) string {
	if d == lavenderridge.DocumentInstanceList {
		return string(d) + " " + configservice.FormatListVersion(v)
	}
	return fmt.Sprintf("%s %d", d, v)
}

// PeerContacted reports a conflict if the sender s of a message has the same
// version of a document as this daemon but with a different digest. It changes no
// document, because only the source can decide which of the two is right.
func (a *Acceptor) PeerContacted(s lavenderridge.Sender) {
	for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
		o := configservice.Offer{Version: s.Stamps.Of(d).Version, Origin: lavenderridge.Origin(s.Instance), Time: a.clock.Now()}
		if a.store.RecordConflict(d, o, s.Stamps.Of(d)) {
			a.report(d, o, configservice.OfferConflict, nil)
			if d == lavenderridge.DocumentCatalogue {
				a.onConflict()
			}
		}
	}
}
