package logkv

import (
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"
)

// formatter writes events as key=value pairs. It needs less processor time for each line than zerolog.ConsoleWriter.
type formatter struct {
	out    io.WriteCloser
	parser fastjson.Parser
	line   []byte
}

// Write implements io.Writer. p must contain one event in JSON.
func (f *formatter) Write(p []byte) (int, error) {
	v, err := f.parser.ParseBytes(p)
	if err != nil {
		return 0, err
	}
	o, err := v.Object()
	if err != nil {
		return 0, err
	}
	f.line = f.line[:0]
	for _, k := range [][2]string{
		{"time", zerolog.TimestampFieldName}, {"level", zerolog.LevelFieldName}, {"event", zerolog.MessageFieldName},
	} {
		f.appendPair(k[0], o.Get(k[1]))
	}
	o.Visit(func(key []byte, v *fastjson.Value) {
		switch k := string(key); k {
		case zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName:
		default:
			f.appendPair(k, v)
		}
	})
	f.line[len(f.line)-1] = '\n'
	if _, err := f.out.Write(f.line); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the output.
func (f *formatter) Close() error { return f.out.Close() }

// appendPair appends a key=value pair and a space to the line.
func (f *formatter) appendPair(key string, v *fastjson.Value) {
	if v == nil {
		return
	}
	f.line = append(f.line, key...)
	f.line = append(f.line, '=')
	if v.Type() != fastjson.TypeString {
		f.line = append(v.MarshalTo(f.line), ' ')
		return
	}
	s := string(v.GetStringBytes())
	if s == "" || strings.ContainsAny(s, " \"=\\\n\r\t") {
		f.line = strconv.AppendQuote(f.line, s)
	} else {
		f.line = append(f.line, s...)
	}
	f.line = append(f.line, ' ')
}
