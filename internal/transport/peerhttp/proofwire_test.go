package peerhttp

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// proofPeer replies with a proof.
type proofPeer struct {
	lavenderridge.Peer
	proof lavenderridge.CatalogueProof
}

func (p *proofPeer) Exchange(context.Context, *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return &lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: "b", DataCentre: "dc"}, Proof: p.proof}, nil
}

// TestProofTravels guards against a proof that becomes younger on its way, or that is lost,
// since it travels beside the message.
func TestProofTravels(t *testing.T) {
	p := &proofPeer{}
	l, _ := newBodyPair(t, 0, p)
	for _, v := range []struct{ sent, want lavenderridge.CatalogueProof }{
		{},
		{lavenderridge.CatalogueProof{Version: 7}, lavenderridge.CatalogueProof{Version: 7}},
		{lavenderridge.CatalogueProof{Version: 7, Age: 1500*time.Millisecond + 1}, lavenderridge.CatalogueProof{Version: 7, Age: 1501 * time.Millisecond}},
	} {
		p.proof = v.sent
		q := &lavenderridge.Exchange{Sender: lavenderridge.Sender{Instance: "a", DataCentre: "dc"}}
		if x, e := l.Exchange(t.Context(), q); e != nil || x.Proof != v.want {
			t.Errorf("%v arrived as %v, error %v; want %v", v.sent, x, e, v.want)
		}
	}
}

// TestMalformedProof guards against a malformed field that counts as a proof.
func TestMalformedProof(t *testing.T) {
	for _, s := range []string{"", "7", "7 ", " 5", "x 5", "7 -5", "7 5 6", "7 99999999999999999999", "7 9999999999999999"} {
		if p := decodeProof(s); p != (lavenderridge.CatalogueProof{}) {
			t.Errorf("%q became %v", s, p)
		}
	}
}
