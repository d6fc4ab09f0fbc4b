package settings

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	logLevelKey  = "Log.Level"
	logFormatKey = "Log.Format"
	formatJSON   = "JSON"
	formatText   = "Text"
)

// A Log tells what a daemon logs and in which form.
type Log struct {
	Level zapcore.Level
	// JSON tells that each line is a JSON object; otherwise it is text.
	JSON bool
}

func readLog(r *reader) Log {
	l := map[string]zapcore.Level{
		"Debug": zapcore.DebugLevel, "Info": zapcore.InfoLevel, "Warn": zapcore.WarnLevel, "Error": zapcore.ErrorLevel,
	}
	return Log{
		Level: l[r.choice(logLevelKey, "Info", "Debug", "Info", "Warn", "Error")],
		JSON:  r.choice(logFormatKey, formatJSON, formatJSON, formatText) == formatJSON,
	}
}

// Logger returns a logger that writes to standard output.
func (l Log) Logger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l.Level)
	c.Sampling = nil
	c.OutputPaths = []string{"stdout"}
	c.DisableStacktrace = true
	c.EncoderConfig.TimeKey, c.EncoderConfig.MessageKey = "Time", "Event"
	c.EncoderConfig.LevelKey, c.EncoderConfig.CallerKey = "Level", "Source"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if !l.JSON {
		c.Encoding = "console"
	}
	g, e := c.Build()
	if e != nil {
		return nil, fmt.Errorf("settings: logger: %w", e)
	}
	return g, nil
}
