// Package logs writes log events, each as one line of key=value pairs (logfmt).
package logs

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"

	"woaddoor/contract"
)

// New returns a logger that writes to w and adds the fields to every line,
// directly after the time and the event.
func New(w io.Writer, fields ...zap.Field) *zap.Logger {
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(w)), zapcore.InfoLevel)
	return zap.New(core).With(fields...)
}

// newEncoder returns the logfmt encoder that all loggers use.
func newEncoder() zapcore.Encoder {
	config := zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "event", LineEnding: zapcore.DefaultLineEnding,
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	return recoveringEncoder{zaplogfmt.NewEncoder(config)}
}

// recoveringEncoder still writes a line if a field makes the wrapped encoder panic, as a
// slice of a named string type does. A panic in a request handler closes the client's
// connection: because of such a panic, 43 requests that were refused during the evacuation of
// a data centre got no response.
type recoveringEncoder struct{ zapcore.Encoder }

// Clone returns a copy of the encoder and its fields.
func (e recoveringEncoder) Clone() zapcore.Encoder { return recoveringEncoder{e.Encoder.Clone()} }

// EncodeEntry encodes an entry. If a field makes the encoder panic, the line carries the
// panic message instead of the fields of the entry.
func (e recoveringEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (line *buffer.Buffer, err error) {
	fields = cutLongTexts(fields)
	defer func() {
		if reason := recover(); reason != nil {
			line, err = e.Encoder.Clone().EncodeEntry(entry, []zapcore.Field{zap.String("fields_left_out", fmt.Sprint(reason))})
		}
	}()
	return e.Encoder.EncodeEntry(entry, fields)
}

// ErrorFields returns the log fields for an error: its text, and, if the error wraps a
// contract.StepError, the failed step of the operation and the peer.
func ErrorFields(err error) []zap.Field {
	fields := []zap.Field{zap.String("error", err.Error())}
	var stepErr *contract.StepError
	if errors.As(err, &stepErr) {
		fields = append(fields, zap.String("step", string(stepErr.Step)), zap.String("peer", stepErr.Peer))
	}
	return fields
}

// maxText is the length of a text in a line; callers choose some texts, such as the ids of requests.
const maxText = 1 << 10

// cutLongTexts returns the fields with texts of at most maxText bytes.
func cutLongTexts(fields []zapcore.Field) []zapcore.Field {
	cut := false
	for i, f := range fields {
		if f.Type != zapcore.StringType || len(f.String) <= maxText {
			continue
		}
		if !cut {
			fields, cut = slices.Clone(fields), true
		}
		fields[i].String = strings.ToValidUTF8(f.String[:maxText], "") + "..."
	}
	return fields
}
