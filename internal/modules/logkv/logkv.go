// Package logkv builds the logger: one line of key=value pairs for each event.
//
// # Usage
//
//	log := logkv.New(os.Stderr, "info", "cat-1")
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

// New returns a logger that writes to w the events of the level and above.
func New(w io.Writer, level string, name ident.Instance) (zerolog.Logger, error) {
	return newLogger(console(w), level, name)
}

// console writes events as pairs of keys and values.
func console(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: timeFormat,
		FormatTimestamp: pair("time"), FormatLevel: pair("level"), FormatMessage: pair("event"),
	}
}

func newLogger(out io.Writer, level string, name ident.Instance) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fault.Wrap(err, fault.CodeSetting, fault.NotRun, "log level")
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(out).Level(l).With().Timestamp().Str("instance", string(name)).Logger(), nil
}

const (
	// bufferLines is how many lines wait for the output; further ones are dropped and counted.
	bufferLines = 4096
	// linesPerSecond bounds what is logged at the info level and below; warnings and errors have as much again.
	linesPerSecond = 2000
	// pollInterval is how often the buffer is looked at; 0 lets its reader wait for lines.
	pollInterval = 0
)

// NewBounded returns a logger that never waits for its output and writes a bounded number of lines a second. Close
// writes out what is buffered. Dropped lines are counted by onDrop.
func NewBounded(w io.Writer, level string, name ident.Instance, onDrop func(n int)) (zerolog.Logger, io.Closer, error) {
	buffer := diode.NewWriter(&formatter{out: w}, bufferLines, pollInterval, onDrop)
	l, err := newLogger(buffer, level, name)
	if err != nil {
		return l, buffer, err
	}
	l = l.Sample(&zerolog.LevelSampler{
		DebugSampler: burst(), InfoSampler: burst(), WarnSampler: burst(), ErrorSampler: burst(),
	})
	return l, buffer, nil
}

func burst() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: linesPerSecond, Period: time.Second}
}

func pair(key string) zerolog.Formatter {
	return func(v any) string { return fmt.Sprintf("%s=%v", key, v) }
}
