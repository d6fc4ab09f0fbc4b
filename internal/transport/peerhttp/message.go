package peerhttp

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
)

// wireRequest is the compact form of a request: an array without names. It
// carries the time left in place of the deadline, because the clocks of two
// daemons differ. The sender's name comes from its certificate.
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
	// Objective is the time left until the objective, which may be over.
	Objective    time.Duration
	HasObjective bool
}

// wireResponse is the compact form of a response.
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

// wireVersions is what requests and responses carry of the sender's stamps.
type wireVersions struct {
	_            struct{} `cbor:",toarray"`
	Catalogue    lavenderridge.Version
	InstanceList lavenderridge.Version
}

type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	InFlight lavenderridge.Slots
	Queued   lavenderridge.Slots
	Limit    lavenderridge.Slots
	Pace     lavenderridge.Ratio
	Backlog  time.Duration
}

// wireRefusal is the form of a refusal in a reply.
type wireRefusal struct {
	Refusal lavenderridge.Refusal
}

// newWireRequest returns the form of r at the time t.
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
		w.Remaining = max(r.Deadline.Sub(t), time.Nanosecond)
	}
	return w
}

// request returns the request that came from the daemon s at the time t.
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

// response returns the response of the instance n.
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

const (
	maxElements = 1 << 17
	maxNesting  = 16
)

// cborDecoder refuses forms that the encoder never makes.
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

func encode(k byte, v any) ([]byte, error) {
	b, e := cbor.Marshal(compact(v))
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
