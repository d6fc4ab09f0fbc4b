package peerhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// wireHandOver is the wire form of a hand-over. It carries the remaining time of
// each record instead of its expiry, because the clocks of two daemons differ.
type wireHandOver struct {
	HandOver  lavenderridge.HandOver
	Remaining []time.Duration
}

// newWireHandOver returns the wire form of q, with the remaining times at t.
func newWireHandOver(q *lavenderridge.HandOver, t time.Time) *wireHandOver {
	w := &wireHandOver{HandOver: *q}
	w.HandOver.Records, w.Remaining = withoutExpiry(q.Records, t)
	return w
}

// handOver returns the hand-over that was received at t.
func (w *wireHandOver) handOver(t time.Time) (*lavenderridge.HandOver, error) {
	r, e := withExpiry(w.HandOver.Records, w.Remaining, t)
	w.HandOver.Records = r
	return &w.HandOver, e
}

// withoutExpiry returns copies of the records l without their expiry, and the
// remaining time of each at t.
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

// withExpiry sets the expiry of each record in l to its remaining time after t. It
// returns an error if l and d differ in length.
func withExpiry(l []lavenderridge.LedgerRecord, d []time.Duration, t time.Time) ([]lavenderridge.LedgerRecord, error) {
	if len(l) != len(d) {
		return nil, fmt.Errorf("peerhttp: %d records with %d remaining times", len(l), len(d))
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
		return nil, newNotRun(e.Error())
	}
	return s.peer.HandOver(c, q)
}

func (l *link) activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	w, e := roundTrip[wireActivationReply](c, l, kindActivate, q)
	if e != nil {
		return nil, e
	}
	return w.reply(time.Now())
}

func (l *link) handOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return roundTrip[lavenderridge.HandOverReply](c, l, kindHandOver, newWireHandOver(q, time.Now()))
}
