package peer_test

import (
	"context"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
)

// refusingPeer refuses every request, as an owner does whose data centre is out of
// service.
type refusingPeer struct {
	lavenderridge.Peer
}

func (refusingPeer) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOutOfService, "")
	f.Place = "owner"
	return nil, f
}

// fixedDialer reaches the same peer at every instance.
type fixedDialer struct{ peer lavenderridge.Peer }

func (d fixedDialer) Dial(*lavenderridge.Instance) lavenderridge.Peer { return d.peer }

// TestRefusalReportsVersions checks that a refusal reports the versions of the
// daemon that refused. A daemon with older versions would otherwise not learn from
// it that there are newer ones.
func TestRefusalReportsVersions(t *testing.T) {
	v := lavenderridge.Versions{Catalogue: 7, InstanceList: 4}
	owner := peer.NewNotifyingPeer(refusingPeer{},
		func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "owner", Stamps: v.Stamps()} },
		func(lavenderridge.Sender) {})
	var notified lavenderridge.Sender
	d := peer.NewNotifyingDialer(fixedDialer{owner}, func(s lavenderridge.Sender) { notified = s })
	_, e := d.Dial(nil).Handle(context.Background(), &lavenderridge.Request{})
	if f := lavenderridge.AsRefusal(e); f.Reason != lavenderridge.ReasonOutOfService {
		t.Errorf("refused with %v; want the refusal of the owner", f)
	}
	if notified.Instance != "owner" || notified.Stamps.Versions() != v {
		t.Errorf("notified of %+v; want the owner with %+v", notified, v)
	}
}
