package lavenderridge

import (
	"fmt"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// kratosLogger forwards log messages of the HTTP library kratos to log, all at
// debug level.
type kratosLogger struct {
	log *zap.Logger
}

var _ kratoslog.Logger = kratosLogger{}

// Log implements kratoslog.Logger.
func (l kratosLogger) Log(v kratoslog.Level, a ...any) error {
	l.log.Debug("LibraryMessage", zap.Stringer("LibraryLevel", v), zap.String("Message", fmt.Sprint(a...)))
	return nil
}
