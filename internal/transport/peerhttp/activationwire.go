package peerhttp

import (
	"errors"
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// wireShortSender is the wire form of a sender without digests, for messages whose
// receiver does not use them.
type wireShortSender struct {
	_           struct{} `cbor:",toarray"`
	Instance    lavenderridge.InstanceID
	DataCentre  lavenderridge.DataCentreID
	Incarnation lavenderridge.Incarnation
	Versions    wireVersions
}

// wireActivationRequest is the wire form of an activation request. It is an array
// and not a map to save bytes, because each home sends several per second.
type wireActivationRequest struct {
	_          struct{} `cbor:",toarray"`
	Sender     wireShortSender
	Service    lavenderridge.ServiceID
	Versions   wireVersions
	Membership []byte
	Gathering  bool
}

// wireActivationReply is the wire form of an activation reply. It carries the
// remaining time of each record instead of its expiry, because the clocks of two
// daemons differ.
type wireActivationReply struct {
	_            struct{} `cbor:",toarray"`
	Sender       wireShortSender
	Versions     wireVersions
	Membership   []byte
	Incarnation  lavenderridge.Incarnation
	Acknowledged bool
	Settled      bool
	Stable       time.Duration
	Records      []lavenderridge.LedgerRecord
	Remaining    []time.Duration
	Whole        bool
}

func newWireShortSender(s *lavenderridge.Sender) wireShortSender {
	return wireShortSender{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Versions: newWireVersions(s.Stamps),
	}
}

func (w *wireShortSender) sender() lavenderridge.Sender {
	return lavenderridge.Sender{
		Instance: w.Instance, DataCentre: w.DataCentre, Incarnation: w.Incarnation, Stamps: w.Versions.stamps(),
	}
}

func newWireActivationRequest(q *lavenderridge.ActivationRequest) *wireActivationRequest {
	return &wireActivationRequest{
		Sender: newWireShortSender(&q.Sender), Service: q.Service,
		Versions:   wireVersions{Catalogue: q.Versions.Catalogue, InstanceList: q.Versions.InstanceList},
		Membership: q.Membership[:], Gathering: q.Gathering,
	}
}

func (w *wireActivationRequest) request() (lavenderridge.ActivationRequest, error) {
	d, e := parseDigest(w.Membership)
	return lavenderridge.ActivationRequest{
		Sender: w.Sender.sender(), Service: w.Service, Versions: w.Versions.stamps().Versions(),
		Membership: d, Gathering: w.Gathering,
	}, e
}

// newWireActivationReply returns the wire form of p, with the remaining times at t.
func newWireActivationReply(p *lavenderridge.ActivationReply, t time.Time) *wireActivationReply {
	w := &wireActivationReply{
		Sender:      newWireShortSender(&p.Sender),
		Versions:    wireVersions{Catalogue: p.Versions.Catalogue, InstanceList: p.Versions.InstanceList},
		Membership:  p.Membership[:],
		Incarnation: p.Incarnation, Acknowledged: p.Acknowledged, Settled: p.Settled, Stable: p.Stable, Whole: p.Whole,
	}
	w.Records, w.Remaining = withoutExpiry(p.Records, t)
	return w
}

// reply returns the reply that was received at t.
func (w *wireActivationReply) reply(t time.Time) (*lavenderridge.ActivationReply, error) {
	d, e := parseDigest(w.Membership)
	r, x := withExpiry(w.Records, w.Remaining, t)
	if e := errors.Join(e, x); e != nil {
		return nil, e
	}
	return &lavenderridge.ActivationReply{
		Sender: w.Sender.sender(), Versions: w.Versions.stamps().Versions(), Membership: d,
		Incarnation: w.Incarnation, Acknowledged: w.Acknowledged, Settled: w.Settled, Stable: w.Stable,
		Records: r, Whole: w.Whole,
	}, nil
}

// parseDigest returns the digest with the bytes b, or an error if their number is
// wrong.
func parseDigest(b []byte) (lavenderridge.Digest, error) {
	var d lavenderridge.Digest
	if len(b) != len(d) {
		return d, fmt.Errorf("peerhttp: digest of %d bytes", len(b))
	}
	return lavenderridge.Digest(b), nil
}
