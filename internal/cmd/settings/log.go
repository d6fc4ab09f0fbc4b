package settings

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	logLevelKey  = "Log.Level"
	logFormatKey = "Log.Format"
	formatJSON   = "JSON"
	formatText   = "Text"
)

// A Log configures a daemon's log.
type Log struct {
	// Level is the lowest level of lines that are written.
	Level zapcore.Level
	// JSON is true if each line is a JSON object; otherwise, it is text.
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

// Logger returns a logger that writes to w with the level and format of l.
func (l Log) Logger(w zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.MessageKey = "Time", "Event"
	c.LevelKey, c.CallerKey = "Level", "Source"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e := zapcore.NewJSONEncoder(c)
	if !l.JSON {
		e = zapcore.NewConsoleEncoder(c)
	}
	return zap.New(zapcore.NewCore(e, w, l.Level))
}
