package logio

import (
	"context"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// FindSnapshot returns the first snapshot of a stream for which all following records are still retained. parse reports
// whether a record is a snapshot and returns the offset of the first record that the snapshot does not include.
func FindSnapshot[T any](
	ctx context.Context, log Log, s ident.Stream, earliest ident.Offset,
	parse func(data []byte) (snapshot T, next ident.Offset, ok bool),
) (T, error) {
	var zero T
	from := earliest
	for ctx.Err() == nil {
		b, err := log.Read(ctx, s, from, 0)
		if err != nil {
			return zero, err
		}
		for _, r := range b.Records {
			from = r.Offset + 1
			if snapshot, next, ok := parse(r.Data); ok && next >= earliest {
				return snapshot, nil
			}
		}
		if from >= b.Next {
			break
		}
	}
	return zero, fault.New(fault.CodeTrimmed, fault.NotRun, "no snapshot of "+string(s)+" is kept")
}
