// Package logs writes events, each as one line of key=value pairs.
package logs

import (
	"errors"
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
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
	return safeEncoder{zaplogfmt.NewEncoder(conf)}
}

// safeEncoder writes a line also where a field cannot be encoded. The encoder panics on
// a list of a named type of texts, and a panic within a request ends its connection: 43
// requests that were refused while a data centre was evacuated got no answer.
type safeEncoder struct{ zapcore.Encoder }

// Clone returns an encoder with the same fields.
func (e safeEncoder) Clone() zapcore.Encoder { return safeEncoder{e.Encoder.Clone()} }

// EncodeEntry returns the line of an entry, without its fields where they cannot be
// encoded.
func (e safeEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (line *buffer.Buffer, err error) {
	defer func() {
		if why := recover(); why != nil {
			line, err = e.Encoder.Clone().EncodeEntry(entry, []zapcore.Field{zap.String("fields_left_out", fmt.Sprint(why))})
		}
	}()
	return e.Encoder.EncodeEntry(entry, fields)
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
