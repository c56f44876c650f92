// Package logkv builds loggers that write one line of key=value pairs for each event.
//
// # Usage
//
//	log, err := logkv.New(os.Stderr, "info", "cat-1")
//	log.Info().Str("key", "value").Msg("lease-lapsed")
package logkv

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of the given level and above to w.
func New(w io.Writer, level string, name ident.Instance) (zerolog.Logger, error) {
	return newLogger(newConsoleWriter(w), level, name)
}

// newConsoleWriter returns a writer that formats events as key=value pairs.
func newConsoleWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: timeFormat,
		FormatTimestamp: keyFormatter("time"), FormatLevel: keyFormatter("level"), FormatMessage: keyFormatter("event"),
	}
}

func newLogger(out io.Writer, level string, name ident.Instance) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fault.Wrap(err, fault.CodeSetting, fault.NotRun, "parse log level")
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(out).Level(l).With().Timestamp().Str("instance", string(name)).Logger(), nil
}

const (
	// bufferLines is the number of lines buffered for the output; further lines are dropped and counted.
	bufferLines = 4096
	// maxLinesPerSecond limits each of the levels debug, info, warn and error separately, so that warnings and errors
	// are logged while the limit for lower levels is reached.
	maxLinesPerSecond = 2000
	// pollInterval is the interval at which the buffer is polled; with 0, the reader blocks until lines arrive.
	pollInterval = 0
)

// NewBounded returns a logger that never blocks on its output and limits the lines written per second. It writes the
// lines of a short time together. Closing it flushes the buffer. onDrop is called with the number of lines dropped
// because the buffer was full.
func NewBounded(w io.Writer, level string, name ident.Instance, onDrop func(n int)) (zerolog.Logger, io.Closer, error) {
	buffer := diode.NewWriter(&formatter{out: &batch{out: w}}, bufferLines, pollInterval, onDrop)
	l, err := newLogger(buffer, level, name)
	if err != nil {
		return l, buffer, err
	}
	l = l.Sample(&zerolog.LevelSampler{
		DebugSampler: newBurstSampler(), InfoSampler: newBurstSampler(),
		WarnSampler: newBurstSampler(), ErrorSampler: newBurstSampler(),
	})
	return l, buffer, nil
}

func newBurstSampler() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: maxLinesPerSecond, Period: time.Second}
}

func keyFormatter(key string) zerolog.Formatter {
	return func(v any) string { return fmt.Sprintf("%s=%v", key, v) }
}
