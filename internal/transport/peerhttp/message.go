package peerhttp

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
)

// wireRequest is the wire form of a request: a CBOR array without field names. It
// carries the remaining time instead of the deadline, because the clocks of two
// daemons differ. The sender's instance and data centre are those of its
// certificate.
type wireRequest struct {
	_           struct{} `cbor:",toarray"`
	ID          lavenderridge.RequestID
	Attempt     lavenderridge.Attempt
	Entry       lavenderridge.EntryID
	Service     lavenderridge.ServiceID
	Class       lavenderridge.Class
	Method      string
	Path        string
	Header      lavenderridge.Header
	Body        []byte
	Key         lavenderridge.IdempotencyKey
	Idempotent  bool
	Remaining   time.Duration
	Depth       lavenderridge.Depth
	NoRetry     bool
	Target      lavenderridge.InstanceID
	Incarnation lavenderridge.Incarnation
	Versions    wireVersions
	Host        string
	Caller      lavenderridge.ServiceID
	Backend     lavenderridge.BackendID
	// Objective is the time left until the objective, negative if it has passed.
	Objective    time.Duration
	HasObjective bool
}

// wireResponse is the wire form of a response: a CBOR array without field names.
type wireResponse struct {
	_           struct{} `cbor:",toarray"`
	ID          lavenderridge.RequestID
	Attempt     lavenderridge.Attempt
	Status      int
	Header      lavenderridge.Header
	Body        []byte
	Load        wireLoad
	DataCentre  lavenderridge.DataCentreID
	Incarnation lavenderridge.Incarnation
	Versions    wireVersions
}

// wireVersions is the wire form of stamps without their digests.
type wireVersions struct {
	_            struct{} `cbor:",toarray"`
	Catalogue    lavenderridge.Version
	InstanceList lavenderridge.Version
}

// wireLoad is the wire form of a load.
type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	InFlight lavenderridge.Slots
	Queued   lavenderridge.Slots
	Limit    lavenderridge.Slots
	Pace     lavenderridge.Ratio
	Backlog  time.Duration
}

// wireRefusal is the wire form of a refusal.
type wireRefusal struct {
	Refusal lavenderridge.Refusal
}

// newWireRequest returns the wire form of r, with the time left at t.
func newWireRequest(r *lavenderridge.Request, t time.Time) *wireRequest {
	w := &wireRequest{
		ID: r.ID, Attempt: r.Attempt, Entry: r.Entry, Service: r.Service, Class: r.Class,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body,
		Key: r.Key, Idempotent: r.Idempotent, Depth: r.Depth, NoRetry: r.NoRetry,
		Target: r.Target, Incarnation: r.Sender.Incarnation, Versions: newWireVersions(r.Sender.Stamps),
		Host: r.Host, Caller: r.Caller, Backend: r.Backend,
	}
	if !r.Objective.IsZero() {
		w.Objective, w.HasObjective = r.Objective.Sub(t), true
	}
	if !r.Deadline.IsZero() {
		// 0 would mean that there is no deadline.
		w.Remaining = max(r.Deadline.Sub(t), time.Nanosecond)
	}
	return w
}

// request returns the request that the daemon s sent and that was received at t.
func (w *wireRequest) request(s lavenderridge.Sender, t time.Time) *lavenderridge.Request {
	s.Incarnation, s.Stamps = w.Incarnation, w.Versions.stamps()
	r := &lavenderridge.Request{
		ID: w.ID, Attempt: w.Attempt, Entry: w.Entry, Service: w.Service, Class: w.Class,
		Method: w.Method, Path: w.Path, Header: w.Header, Body: w.Body,
		Key: w.Key, Idempotent: w.Idempotent, Depth: w.Depth, NoRetry: w.NoRetry,
		Target: w.Target, Sender: s, Host: w.Host, Caller: w.Caller, Backend: w.Backend,
	}
	if w.HasObjective {
		r.Objective = t.Add(w.Objective)
	}
	if w.Remaining > 0 {
		r.Deadline = t.Add(w.Remaining)
	}
	return r
}

func newWireResponse(p *lavenderridge.Response) *wireResponse {
	return &wireResponse{
		ID: p.ID, Attempt: p.Attempt, Status: p.Status, Header: p.Header, Body: p.Body,
		Load:       wireLoad{InFlight: p.Load.InFlight, Queued: p.Load.Queued, Limit: p.Load.Limit, Pace: p.Load.Pace, Backlog: p.Load.Backlog},
		DataCentre: p.Sender.DataCentre, Incarnation: p.Sender.Incarnation, Versions: newWireVersions(p.Sender.Stamps),
	}
}

// response returns the response, with the instance n as its sender.
func (w *wireResponse) response(n lavenderridge.InstanceID) *lavenderridge.Response {
	return &lavenderridge.Response{
		ID: w.ID, Attempt: w.Attempt, Status: w.Status, Header: w.Header, Body: w.Body,
		Load:   lavenderridge.Load{InFlight: w.Load.InFlight, Queued: w.Load.Queued, Limit: w.Load.Limit, Pace: w.Load.Pace, Backlog: w.Load.Backlog},
		Sender: lavenderridge.Sender{Instance: n, DataCentre: w.DataCentre, Incarnation: w.Incarnation, Stamps: w.Versions.stamps()},
	}
}

func newWireVersions(s lavenderridge.Stamps) wireVersions {
	return wireVersions{Catalogue: s.Catalogue.Version, InstanceList: s.InstanceList.Version}
}

func (w wireVersions) stamps() lavenderridge.Stamps {
	return lavenderridge.Stamps{
		Catalogue:    lavenderridge.Stamp{Version: w.Catalogue},
		InstanceList: lavenderridge.Stamp{Version: w.InstanceList},
	}
}

// Limits of a received message.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

// cborDecoder rejects encodings that the encoder never produces, such as duplicate
// map keys and indefinite lengths.
var cborDecoder = newDecoder()

func newDecoder() cbor.DecMode {
	d, e := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if e != nil {
		panic(e)
	}
	return d
}

// encode returns the message with the first byte k, which is a kind or a status,
// and the CBOR of v in its compact form.
func encode(k byte, v any) ([]byte, error) {
	b, e := cbor.Marshal(compactForm(v))
	if e != nil {
		return nil, fmt.Errorf("peerhttp: encode: %w", e)
	}
	return append([]byte{k}, b...), nil
}

func decode(b []byte, v any) error {
	if e := decodeCompact(b, v); e != nil {
		return fmt.Errorf("peerhttp: decode: %w", e)
	}
	return nil
}
