package peer_test

import (
	"context"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
)

// refusingPeer refuses every request, as an owner whose data centre is out.
type refusingPeer struct {
	lavenderridge.Peer
}

func (refusingPeer) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOutOfService, "")
	f.Place = "owner"
	return nil, f
}

type fixedDialer struct{ peer lavenderridge.Peer }

func (d fixedDialer) Dial(*lavenderridge.Instance) lavenderridge.Peer { return d.peer }

// TestRefusalTellsVersions checks that a daemon that is behind learns so from
// the refusal of one that is ahead.
func TestRefusalTellsVersions(t *testing.T) {
	v := lavenderridge.Versions{Catalogue: 7, InstanceList: 4}
	owner := peer.NewHearingPeer(refusingPeer{},
		func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "owner", Stamps: v.Stamps()} },
		func(lavenderridge.Sender) {})
	var heard lavenderridge.Sender
	d := peer.NewHearingDialer(fixedDialer{owner}, func(s lavenderridge.Sender) { heard = s })
	_, e := d.Dial(nil).Handle(context.Background(), &lavenderridge.Request{})
	if f := lavenderridge.AsRefusal(e); f.Reason != lavenderridge.ReasonOutOfService {
		t.Errorf("refused with %v; want the owner's refusal", f)
	}
	if heard.Instance != "owner" || heard.Stamps.Versions() != v {
		t.Errorf("heard %+v; want the owner with %+v", heard, v)
	}
}
