package suspects

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// maximumSnapshotContents bounds the contents in a snapshot.
	maximumSnapshotContents = 256
	// restoredCrashWindow is the time within which a crash in a ContentRecord counts as a known
	// one of the same server. It is wider than sameCrashWindow, because the clocks of the nodes
	// that write and read a stored record may differ.
	restoredCrashWindow = 10 * time.Minute
)

// ContentRecord is what a node knows of the crashes of one content, for a node that may know
// nothing of them.
type ContentRecord struct {
	Content Content
	// Crashes has at most maximumCrashes entries, the oldest first.
	Crashes []ContentCrash
}

// ContentCrash is one crash of a server that ran a content.
type ContentCrash struct {
	Server domain.ServerID
	// Age is the time since the crash.
	Age time.Duration
	// Isolated and AfterToken are those of Report.
	Isolated, AfterToken bool
}

// Snapshot returns the contents that crashed at least CrashLimit servers, those with the latest
// crash first, for a message. Other contents mostly ran beside the cause of a crash.
func (l *List) Snapshot(now time.Time) []ContentRecord {
	records := l.All(now)
	return records[:min(len(records), maximumSnapshotContents)]
}

// All returns what Snapshot does, without its bound.
func (l *List) All(now time.Time) []ContentRecord {
	records := l.Records(now, slices.Collect(maps.Keys(l.contents)))
	slices.SortFunc(records, func(a, b ContentRecord) int {
		return cmp.Or(l.contents[b.Content].latestCrashAt.Compare(l.contents[a.Content].latestCrashAt), bytes.Compare(a.Content[:], b.Content[:]))
	})
	return records
}

// Records returns what this node knows of some contents, of those that crashed at least CrashLimit
// servers.
func (l *List) Records(now time.Time, contents []Content) []ContentRecord {
	var records []ContentRecord
	for _, c := range contents {
		e := l.contents[c]
		if e == nil || l.countCrashes(c, e).all < CrashLimit || now.Sub(e.latestCrashAt) >= entryLifetime {
			continue
		}
		r := ContentRecord{Content: c}
		for _, k := range e.crashes {
			r.Crashes = append(r.Crashes, ContentCrash{Server: k.server, Age: max(0, now.Sub(k.at)), Isolated: k.isolated, AfterToken: k.afterToken})
		}
		records = append(records, r)
	}
	return records
}

// Restore adds the crashes in the records of another node, or in stored ones, that this node does
// not know. It reports whether there were any.
func (l *List) Restore(now time.Time, records []ContentRecord) bool {
	isNew := false
	for _, r := range records {
		var known []crash
		if e := l.contents[r.Content]; e != nil {
			known = slices.Clone(e.crashes)
		}
		for _, k := range r.Crashes[:min(len(r.Crashes), maximumCrashes)] {
			at := now.Add(-max(0, k.Age))
			isKnown := slices.ContainsFunc(known, func(o crash) bool { return o.server == k.Server && o.at.Sub(at).Abs() < restoredCrashWindow })
			if isKnown || l.isExempt(r.Content, at) || now.Sub(at) >= entryLifetime {
				continue
			}
			l.addCrash(now, r.Content, crash{server: k.Server, at: at, isolated: k.Isolated, afterToken: k.AfterToken})
			isNew = true
		}
	}
	return isNew
}
