package peerhttp

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

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
		&lavenderridge.ActivationRequest{
			Sender:  lavenderridge.Sender{Instance: "instance-00001", DataCentre: "dc-1", Incarnation: 1 << 60},
			Service: "service-001", Versions: s.Stamps.Versions(), Membership: lavenderridge.Digest{5}, Gathering: true,
		},
	}
}

func empty(v any) any {
	return reflect.New(reflect.TypeOf(v).Elem()).Interface()
}

// TestCompact checks that messages come back as they were sent, and how long
// they are.
func TestCompact(t *testing.T) {
	want := []int{129, 83, 160, 183, 153, 117, 91}
	for i, v := range compactMessages() {
		b, e := encode(1, v)
		if e != nil {
			t.Fatal(e)
		}
		w := empty(v)
		if e := decode(b[1:], w); e != nil || !reflect.DeepEqual(v, w) {
			t.Errorf("%+v came back as %+v, error %v", v, w, e)
		}
		if len(b) != want[i] {
			t.Errorf("message %d (%T) has %d bytes; want %d", i, v, len(b), want[i])
		}
	}
}

// TestCompactActivationReply checks that a reply with records comes back as it
// was sent, and that one whose records lack a time is refused: a reply that
// claims to be whole must not lose one.
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
		t.Errorf("%+v came back as %+v, error %v", p, g, e)
	}
	w.Remaining = nil
	if g, e := w.reply(now); e == nil {
		t.Errorf("%+v came without an error", g)
	}
}

// TestDecompressionBound checks that a small message can't become a huge one.
func TestDecompressionBound(t *testing.T) {
	z := compressor().EncodeAll(make([]byte, 2*maxDecompressed), nil)
	b, e := encode(1, &wirePullReply{Sender: newWireSender(&lavenderridge.Sender{}), Compressed: z})
	if e != nil {
		t.Fatal(e)
	}
	var p lavenderridge.PullReply
	if e := decode(b[1:], &p); e == nil {
		t.Errorf("%d bytes became %d", len(b), len(p.Whole))
	}
}

// FuzzCompact checks that no bytes panic and that what is read can be sent on.
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
			w := empty(v)
			if e := decode(x[1:], w); e != nil {
				t.Fatalf("%+v can't be sent on: %v", v, e)
			}
		}
	})
}
