package backendserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// answers is a backend server that answers at once.
type answers struct{ response lavenderridge.Response }

func (a *answers) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &a.response, nil
}

func (a *answers) Probe(context.Context) (lavenderridge.Health, error) {
	return lavenderridge.Health{}, nil
}

func (a *answers) Close() error { return nil }

// BenchmarkOwnerHandler measures what an owner adds to a request.
func BenchmarkOwnerHandler(b *testing.B) {
	s := &session{now: time.Now()}
	s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 10, Connections: 130, Queue: 20})
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} },
		&answers{response: lavenderridge.Response{Status: 200}}, backendserver.WithLimiterOptions(policy.WithFixedLimit()))
	r := &lavenderridge.Request{Target: "a", Service: "billing", Class: lavenderridge.ClassNormal}
	b.ReportAllocs()
	for b.Loop() {
		if _, e := h.Handle(context.Background(), r); e != nil {
			b.Fatal(e)
		}
	}
}
