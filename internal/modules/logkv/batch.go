package logkv

import (
	"io"
	"sync"
	"time"
)

const (
	// batchDelay is how long a line may wait for others that are written with it.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the size from which a batch is written at once.
	maxBatchBytes = 16 << 10
)

// batch is a writer that writes the lines of batchDelay together, because each write costs a system call.
type batch struct {
	out io.Writer

	mu    sync.Mutex
	lines []byte
	// err is the error of the last write; it is returned by the next call.
	err error
}

// Write implements io.Writer.
func (b *batch) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines) == 0 {
		time.AfterFunc(batchDelay, b.flush)
	}
	b.lines = append(b.lines, line...)
	if len(b.lines) >= maxBatchBytes {
		b.writeLines()
	}
	err := b.err
	b.err = nil
	return len(line), err
}

func (b *batch) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeLines()
}

// writeLines writes the batch. The caller must hold the mutex.
func (b *batch) writeLines() {
	if len(b.lines) == 0 {
		return
	}
	_, b.err = b.out.Write(b.lines)
	b.lines = b.lines[:0]
}

// Close writes what is left.
func (b *batch) Close() error {
	b.flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
