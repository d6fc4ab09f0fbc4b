package peerhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// wireHandOver carries the time left of each record.
type wireHandOver struct {
	HandOver  lavenderridge.HandOver
	Remaining []time.Duration
}

func newWireHandOver(q *lavenderridge.HandOver, t time.Time) *wireHandOver {
	w := &wireHandOver{HandOver: *q}
	w.HandOver.Records, w.Remaining = withoutExpiry(q.Records, t)
	return w
}

// handOver returns the hand-over that came at t.
func (w *wireHandOver) handOver(t time.Time) (*lavenderridge.HandOver, error) {
	r, e := withExpiry(w.HandOver.Records, w.Remaining, t)
	w.HandOver.Records = r
	return &w.HandOver, e
}

func withoutExpiry(l []lavenderridge.LedgerRecord, t time.Time) ([]lavenderridge.LedgerRecord, []time.Duration) {
	r := make([]lavenderridge.LedgerRecord, len(l))
	d := make([]time.Duration, len(l))
	for i, v := range l {
		d[i] = v.Expires.Sub(t)
		v.Expires = time.Time{}
		r[i] = v
	}
	return r, d
}

// withExpiry returns the records with their times, or an error when a record
// comes without a time left.
func withExpiry(l []lavenderridge.LedgerRecord, d []time.Duration, t time.Time) ([]lavenderridge.LedgerRecord, error) {
	if len(l) != len(d) {
		return nil, fmt.Errorf("peerhttp: %d records with %d times", len(l), len(d))
	}
	for i := range l {
		l[i].Expires = t.Add(d[i])
	}
	return l, nil
}

func (s *Server) activate(c context.Context, q *lavenderridge.ActivationRequest) (*wireActivationReply, error) {
	p, e := s.peer.Activate(c, q)
	if e != nil {
		return nil, e
	}
	return newWireActivationReply(p, time.Now()), nil
}

func (s *Server) handOver(c context.Context, w *wireHandOver) (*lavenderridge.HandOverReply, error) {
	q, e := w.handOver(time.Now())
	if e != nil {
		return nil, notRun(e.Error())
	}
	return s.peer.HandOver(c, q)
}

func (l *link) activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	w, e := ask[wireActivationReply](c, l, kindActivate, q)
	if e != nil {
		return nil, e
	}
	return w.reply(time.Now())
}

func (l *link) handOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return ask[lavenderridge.HandOverReply](c, l, kindHandOver, newWireHandOver(q, time.Now()))
}
