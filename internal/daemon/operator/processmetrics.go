package operator

import (
	rtmetrics "runtime/metrics"
	"syscall"

	"github.com/rcrowley/go-metrics"
)

// RegisterProcessMetrics adds gauges of the process itself to the registry r.
// They are read only when asked for.
func RegisterProcessMetrics(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("Goroutines", r, func() int64 { return runtimeValue("/sched/goroutines:goroutines") })
	metrics.NewRegisteredFunctionalGauge("HeapBytes", r, func() int64 { return runtimeValue("/memory/classes/heap/objects:bytes") })
	metrics.NewRegisteredFunctionalGauge("MemoryBytes", r, func() int64 { return runtimeValue("/memory/classes/total:bytes") })
	metrics.NewRegisteredFunctionalGauge("ProcessorMicroseconds", r, processorTime)
}

func runtimeValue(n string) int64 {
	s := []rtmetrics.Sample{{Name: n}}
	rtmetrics.Read(s)
	if s[0].Value.Kind() != rtmetrics.KindUint64 {
		return 0
	}
	return int64(s[0].Value.Uint64())
}

// processorTime returns the processor time that the process has used, in
// microseconds.
func processorTime() int64 {
	var u syscall.Rusage
	if e := syscall.Getrusage(syscall.RUSAGE_SELF, &u); e != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}
