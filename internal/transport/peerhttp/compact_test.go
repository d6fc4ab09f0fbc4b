package peerhttp

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// compactMessages returns examples of all messages with a compact form that need no
// clock to be decoded.
func compactMessages() []any {
	s := lavenderridge.Sender{
		Instance: "instance-00001", DataCentre: "dc-1", Incarnation: 1 << 60,
		Stamps: lavenderridge.Stamps{
			Catalogue:    lavenderridge.Stamp{Version: 300, Digest: lavenderridge.Digest{1, 2, 3}},
			InstanceList: lavenderridge.Stamp{Version: 70_000, Digest: lavenderridge.Digest{4}},
		},
	}
	return []any{
		&lavenderridge.Exchange{Sender: s, Address: "10.0.0.1:7100", SourceAge: 3 * time.Second},
		&lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: "a", DataCentre: "b"}, Leaving: true, Suspects: []lavenderridge.Suspect{{Fingerprint: 7, Service: "s", Remaining: time.Minute}}},
		&lavenderridge.PullRequest{Sender: s, Name: lavenderridge.DocumentInstanceList, Have: s.Stamps.InstanceList},
		&lavenderridge.PullReply{Sender: s, Stamp: s.Stamps.Catalogue, Whole: bytes.Repeat([]byte("instance"), 1000)},
		&lavenderridge.PullReply{Sender: s, Stamp: s.Stamps.Catalogue, Delta: []byte{1}},
		&lavenderridge.PullReply{Sender: s, Busy: true},
		&lavenderridge.PullReply{Sender: s, Stamp: s.Stamps.Catalogue, Delta: bytes.Repeat([]byte("instance"), 1000)},
		&lavenderridge.ActivationRequest{
			Sender:  lavenderridge.Sender{Instance: "instance-00001", DataCentre: "dc-1", Incarnation: 1 << 60},
			Service: "service-001", Versions: s.Stamps.Versions(), Membership: lavenderridge.Digest{5}, Gathering: true,
		},
	}
}

func newEmpty(v any) any {
	return reflect.New(reflect.TypeOf(v).Elem()).Interface()
}

// TestCompact checks that messages are unchanged after encoding and decoding, and
// how long their encodings are.
func TestCompact(t *testing.T) {
	want := []int{129, 83, 160, 183, 153, 117, 183, 91}
	for i, v := range compactMessages() {
		b, e := encode(1, v)
		if e != nil {
			t.Fatal(e)
		}
		w := newEmpty(v)
		if e := decode(b[1:], w); e != nil || !reflect.DeepEqual(v, w) {
			t.Errorf("%+v decoded as %+v, error %v", v, w, e)
		}
		if len(b) != want[i] {
			t.Errorf("message %d (%T) has %d bytes; want %d", i, v, len(b), want[i])
		}
	}
}

// TestCompactActivationReply checks that a reply with records is unchanged after
// encoding and decoding. It also checks that a reply whose records lack a remaining
// time is rejected, because a reply with Whole set must not lose a record.
func TestCompactActivationReply(t *testing.T) {
	now := time.Unix(4_000_000_000, 0)
	p := &lavenderridge.ActivationReply{
		Sender:   lavenderridge.Sender{Instance: "a", DataCentre: "b", Incarnation: 3},
		Versions: lavenderridge.Versions{Catalogue: 7, InstanceList: 9}, Membership: lavenderridge.Digest{6},
		Incarnation: 2, Acknowledged: true, Settled: true, Stable: time.Minute, Whole: true,
		Records: []lavenderridge.LedgerRecord{{Key: "k", Service: "s", State: lavenderridge.LedgerDone, Expires: now.Add(1234567 * time.Microsecond)}},
	}
	b, e := encode(1, newWireActivationReply(p, now))
	if e != nil {
		t.Fatal(e)
	}
	var w wireActivationReply
	if e := decode(b[1:], &w); e != nil {
		t.Fatal(e)
	}
	if g, e := w.reply(now); e != nil || !reflect.DeepEqual(g, p) {
		t.Errorf("%+v decoded as %+v, error %v", p, g, e)
	}
	w.Remaining = nil
	if g, e := w.reply(now); e == nil {
		t.Errorf("reply without remaining times decoded as %+v; want an error", g)
	}
}

// TestDecompressionBound checks that a small message with a compressed document is
// rejected if the document exceeds the size limit when it is decompressed.
func TestDecompressionBound(t *testing.T) {
	z := compressor().EncodeAll(make([]byte, 2*maxDecompressedSize), nil)
	for _, w := range []wirePullReply{{Compressed: z}, {Delta: z}} {
		w.Sender = newWireSender(&lavenderridge.Sender{})
		b, e := encode(1, &w)
		if e != nil {
			t.Fatal(e)
		}
		var p lavenderridge.PullReply
		if e := decode(b[1:], &p); e == nil {
			t.Errorf("a message of %d bytes decompressed to %d bytes; want an error", len(b), len(p.Whole)+len(p.Delta))
		}
	}
}

// FuzzCompact checks that no input causes a panic, and that every decoded message
// can be encoded and decoded again.
func FuzzCompact(f *testing.F) {
	for _, v := range compactMessages() {
		b, e := encode(1, v)
		if e != nil {
			f.Fatal(e)
		}
		f.Add(b[1:])
		f.Add(b[1 : len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, v := range []any{&lavenderridge.Exchange{}, &lavenderridge.PullRequest{}, &lavenderridge.PullReply{}, &lavenderridge.ActivationRequest{}} {
			if decode(b, v) != nil {
				continue
			}
			x, e := encode(1, v)
			if e != nil {
				t.Fatal(e)
			}
			w := newEmpty(v)
			if e := decode(x[1:], w); e != nil {
				t.Fatalf("%+v can't be decoded after encoding: %v", v, e)
			}
		}
	})
}
