package operator

import (
	rtmetrics "runtime/metrics"
	"syscall"

	"github.com/rcrowley/go-metrics"
)

// RegisterProcessMetrics adds gauges of the process to the registry r: goroutines,
// memory and processor time. Their values are computed only when they are read.
func RegisterProcessMetrics(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("Goroutines", r, func() int64 { return readRuntimeMetric("/sched/goroutines:goroutines") })
	metrics.NewRegisteredFunctionalGauge("HeapBytes", r, func() int64 { return readRuntimeMetric("/memory/classes/heap/objects:bytes") })
	metrics.NewRegisteredFunctionalGauge("MemoryBytes", r, func() int64 { return readRuntimeMetric("/memory/classes/total:bytes") })
	metrics.NewRegisteredFunctionalGauge("ProcessorMicroseconds", r, processorMicroseconds)
}

// readRuntimeMetric returns the metric n of the Go runtime, or 0 if the runtime
// has no such metric.
func readRuntimeMetric(n string) int64 {
	s := []rtmetrics.Sample{{Name: n}}
	rtmetrics.Read(s)
	if s[0].Value.Kind() != rtmetrics.KindUint64 {
		return 0
	}
	return int64(s[0].Value.Uint64())
}

// processorMicroseconds returns the user and system processor time that the
// process has used, or 0 if it cannot be read.
func processorMicroseconds() int64 {
	var u syscall.Rusage
	if e := syscall.Getrusage(syscall.RUSAGE_SELF, &u); e != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}
