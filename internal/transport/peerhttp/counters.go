package peerhttp

import "github.com/rcrowley/go-metrics"

// counters holds the counters of connection events. None of them is updated on
// each call.
type counters struct {
	opened       metrics.Counter
	dialFailures metrics.Counter
	tlsRefused   metrics.Counter
	probes       metrics.Counter
	replaced     metrics.Counter
	serverErrors metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		opened:       metrics.GetOrRegisterCounter("PeerConnectionsOpened", r),
		dialFailures: metrics.GetOrRegisterCounter("PeerDialFailures", r),
		tlsRefused:   metrics.GetOrRegisterCounter("PeerTLSRefused", r),
		probes:       metrics.GetOrRegisterCounter("PeerProbes", r),
		replaced:     metrics.GetOrRegisterCounter("PeerConnectionsReplaced", r),
		serverErrors: metrics.GetOrRegisterCounter("PeerServerErrors", r),
	}
}
