package logkv

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBoundedWritesPairs(t *testing.T) {
	var out bytes.Buffer
	l, closer, err := NewBounded(&out, "info", "n-1", func(int) {})
	assert.NilError(t, err)
	l.Info().Str("cause", `it's "full" now`).Int("jobs", 7).Str("empty", "").Msg("job-queued")
	l.Debug().Msg("unseen")
	assert.NilError(t, closer.Close())
	line := out.String()
	assert.Assert(t, strings.HasPrefix(line, "time="), line)
	assert.Assert(t, strings.HasSuffix(line, "level=info event=job-queued instance=n-1 "+
		`cause="it's \"full\" now" jobs=7 empty=""`+"\n"), line)
}

// slowWriter blocks for 20 ms on each line.
type slowWriter struct{ lines int }

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	s.lines++
	return len(p), nil
}

func TestBoundedNeverBlocks(t *testing.T) {
	out := &slowWriter{}
	l, _, err := NewBounded(out, "info", "n-1", func(int) {})
	assert.NilError(t, err)
	start := time.Now()
	for range 20_000 {
		l.Info().Msg("x")
	}
	elapsed := time.Since(start)
	assert.Assert(t, elapsed < 2*time.Second, "20000 lines took %v", elapsed)
}

func TestBoundedLimitsLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	l, closer, err := NewBounded(&out, "info", "n-1", func(int) {})
	assert.NilError(t, err)
	for range 3 * maxLinesPerSecond {
		l.Info().Msg("x")
	}
	assert.NilError(t, closer.Close())
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines <= 2*maxLinesPerSecond, "%d lines", lines)
}

// countingWriter counts the writes and the lines.
type countingWriter struct{ writes, lines int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// TestEachLineIsWrittenAlone guards against a system call for each line of a leader, which logs thousands a second.
func TestEachLineIsWrittenAlone(t *testing.T) {
	out := &countingWriter{}
	l, closer, err := NewBounded(out, "info", "n-1", func(int) {})
	assert.NilError(t, err)
	const lines = 1000
	for range lines {
		l.Info().Msg("x")
	}
	assert.NilError(t, closer.Close())
	assert.Equal(t, out.lines, lines)
	assert.Assert(t, out.writes <= lines/20, "%d writes", out.writes)
}

// TestLineIsWrittenSoon guards against lines that wait for others that do not come.
func TestLineIsWrittenSoon(t *testing.T) {
	read, write := io.Pipe()
	l, _, err := NewBounded(write, "info", "n-1", func(int) {})
	assert.NilError(t, err)
	since := time.Now()
	l.Info().Msg("x")
	_, err = read.Read(make([]byte, 256))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(since) < time.Second)
}

// discard is an output that keeps nothing.
type discard struct{ io.Writer }

func (discard) Close() error { return nil }

func BenchmarkFormatter(b *testing.B) {
	f := &formatter{out: discard{io.Discard}}
	line := []byte(`{"level":"info","instance":"n-1","epoch":7,"job":"5c0e7a21d94b36f8","step":1,"task":17,` +
		`"executor":"i-7f3a91c2","time":"2026-05-09T12:15:58.010Z","message":"start"}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Write(line); err != nil {
			b.Fatal(err)
		}
	}
}
