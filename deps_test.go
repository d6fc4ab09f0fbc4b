package lavenderridge_test

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
