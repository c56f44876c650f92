// Package done states which tasks of a job are done as ranges, for the records of jobs with many tasks.
//
// # Usage
//
//	done.Compact(progress)
//	done.Visit(progress.Done, job, func(occurrence, step, index uint32) { ... })
package done

import "github.com/ibischute/ibischute/internal/modules/jobpb"

// Compact moves the done tasks of the progress, which are in the order of occurrence, step and index, to ranges. Tasks
// with failed runs or losses stay, as an end that is listed again must not count twice.
func Compact(p *jobpb.Progress) {
	var ranges []*jobpb.DoneRange
	kept := p.Tasks[:0]
	for _, t := range p.Tasks {
		if !t.Done || len(t.FailedRuns) > 0 || len(t.Losses) > 0 {
			kept = append(kept, t)
			continue
		}
		ranges = appendTask(ranges, t)
	}
	p.Tasks = kept
	p.Done = append(p.Done, joinOccurrences(ranges)...)
}

// appendTask adds a done task to ranges of one occurrence each.
func appendTask(ranges []*jobpb.DoneRange, t *jobpb.TaskProgress) []*jobpb.DoneRange {
	if n := len(ranges); n > 0 {
		last := ranges[n-1]
		isSameStep := last.FirstOccurrence == t.Occurrence && last.Step == t.Step
		if isSameStep && last.FirstIndex+last.Indexes == t.Index {
			last.Indexes++
			return ranges
		}
	}
	return append(ranges, &jobpb.DoneRange{
		Step: t.Step, FirstOccurrence: t.Occurrence, Occurrences: 1, FirstIndex: t.Index, Indexes: 1,
	})
}

// tasks are those of a range within one occurrence.
type tasks struct {
	step, firstIndex, indexes uint32
}

// joinOccurrences joins ranges of successive occurrences with the same tasks.
func joinOccurrences(ranges []*jobpb.DoneRange) []*jobpb.DoneRange {
	latest := map[tasks]*jobpb.DoneRange{}
	var joined []*jobpb.DoneRange
	for _, r := range ranges {
		key := tasks{r.Step, r.FirstIndex, r.Indexes}
		if l := latest[key]; l != nil && l.FirstOccurrence+l.Occurrences == r.FirstOccurrence {
			l.Occurrences++
			continue
		}
		latest[key] = r
		joined = append(joined, r)
	}
	return joined
}

// Visit calls f for each task of the job that the ranges name.
func Visit(ranges []*jobpb.DoneRange, j *jobpb.Job, f func(occurrence, step, index uint32)) {
	for _, r := range ranges {
		if r.Step >= uint32(len(j.Steps)) {
			continue
		}
		endOccurrence := end(r.FirstOccurrence, r.Occurrences, max(1, j.RepeatCount))
		endIndex := end(r.FirstIndex, r.Indexes, j.Steps[r.Step].Count)
		for o := r.FirstOccurrence; o < endOccurrence; o++ {
			for i := r.FirstIndex; i < endIndex; i++ {
				f(o, r.Step, i)
			}
		}
	}
}

// end returns the number after the last one of a range, at most limit.
func end(first, count, limit uint32) uint32 {
	return uint32(min(uint64(first)+uint64(count), uint64(limit)))
}
