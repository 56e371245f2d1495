// Package logs writes events, each as one line of key=value pairs.
package logs

import (
	"errors"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"woaddoor/contract"
)

// New returns a logger that writes to w, with the fields at the start of each
// line after time and event.
func New(w io.Writer, fields ...zap.Field) *zap.Logger {
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(w)), zapcore.InfoLevel)
	return zap.New(core).With(fields...)
}

func newEncoder() zapcore.Encoder {
	conf := zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "event", LineEnding: zapcore.DefaultLineEnding,
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	return zaplogfmt.NewEncoder(conf)
}

// Failure returns the fields of an error: its text, and the step and the peer
// at which it arose.
func Failure(err error) []zap.Field {
	fields := []zap.Field{zap.String("error", err.Error())}
	var se *contract.StepError
	if errors.As(err, &se) {
		fields = append(fields, zap.String("step", string(se.Step)), zap.String("peer", se.Peer))
	}
	return fields
}
