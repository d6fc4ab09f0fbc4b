package peerhttp

import (
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// TestRecordKeepsTimeLeft checks that a record's expiry survives a difference
// of clocks with parts of a second.
func TestRecordKeepsTimeLeft(t *testing.T) {
	a := time.Unix(1_800_000_000, 123_456_789)
	b := a.Add(-time.Hour)
	q := &lavenderridge.HandOver{Records: []lavenderridge.LedgerRecord{{
		Key: "k", State: lavenderridge.LedgerDone, Fingerprint: 1 << 63, Expires: a.Add(1500 * time.Millisecond),
		Response: &lavenderridge.Response{Status: 201, Body: []byte("paid"), Header: lavenderridge.Header{"A": {"b"}}},
	}}}
	x, e := encode(byte(kindHandOver), newWireHandOver(q, a))
	if e != nil {
		t.Fatal(e)
	}
	var w wireHandOver
	if e := decode(x[1:], &w); e != nil {
		t.Fatal(e)
	}
	v, e := w.handOver(b)
	if e != nil {
		t.Fatal(e)
	}
	r := v.Records[0]
	if d := r.Expires.Sub(b); d != 1500*time.Millisecond {
		t.Errorf("time left %s; want 1.5s", d)
	}
	if r.Fingerprint != 1<<63 || string(r.Response.Body) != "paid" || r.Response.Header.Get("A") != "b" {
		t.Errorf("record %+v", r)
	}
	if l, e := withExpiry(q.Records, nil, b); e == nil || l != nil {
		t.Errorf("records without a time left: %v, %v; want an error", l, e)
	}
}
