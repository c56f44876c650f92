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

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w the events of the level and above.
func New(w io.Writer, level string, name ident.Instance) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fault.Wrap(err, fault.CodeSetting, fault.NotRun, "log level")
	}
	zerolog.TimeFieldFormat = timeFormat
	out := zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: timeFormat,
		FormatTimestamp: pair("time"), FormatLevel: pair("level"), FormatMessage: pair("event"),
	}
	return zerolog.New(out).Level(l).With().Timestamp().Str("instance", string(name)).Logger(), nil
}

func pair(key string) zerolog.Formatter {
	return func(v any) string { return fmt.Sprintf("%s=%v", key, v) }
}
