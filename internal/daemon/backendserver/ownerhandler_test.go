package backendserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// immediateServer is a backend server that responds immediately.
type immediateServer struct{ response lavenderridge.Response }

func (a *immediateServer) Handle(context.Context, *lavenderridge.Request) (*lavenderridge.Response, error) {
	return &a.response, nil
}

func (a *immediateServer) Probe(context.Context) (lavenderridge.Health, error) {
	return lavenderridge.Health{}, nil
}

func (a *immediateServer) Recheck(c context.Context) (lavenderridge.Health, error) {
	return a.Probe(c)
}

func (a *immediateServer) Close() error { return nil }

// BenchmarkOwnerHandler measures the time that the handler adds to a request.
func BenchmarkOwnerHandler(b *testing.B) {
	s := &session{now: time.Now()}
	s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 10, Connections: 130, Queue: 20})
	h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} },
		&immediateServer{response: lavenderridge.Response{Status: 200}}, backendserver.WithLimiterOptions(policy.WithFixedLimit()))
	r := &lavenderridge.Request{Target: "a", Service: "billing", Class: lavenderridge.ClassNormal}
	b.ReportAllocs()
	for b.Loop() {
		if _, e := h.Handle(context.Background(), r); e != nil {
			b.Fatal(e)
		}
	}
}
