package ccsettings

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

const (
	defaultKeep = 2048
	// keepSections is for how many versions a replaced section is kept, for those
	// that have just read the head that named it.
	keepSections = 64
	// sweepEvery is after how many versions old records are removed.
	sweepEvery = 64
	// cleanupTime bounds what a writer does after its change is settled.
	cleanupTime = 2 * time.Second
)

// History returns the accepted changes that are kept, in the order of versions.
func (w *Writer) History(ctx context.Context) ([]ccsettings.Change, error) {
	// The head is read first, so that its change is the newest one returned.
	item, err := getRetry(ctx, w.cfg.Store, ccsettings.HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := ccsettings.ParseHead(item.Value)
	if err != nil {
		return nil, &Error{Op: "read head", Kind: KindRecord, Err: err}
	}
	items, err := listRetry(ctx, w.cfg.Store, ccsettings.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	changes := make([]ccsettings.Change, 0, len(items)+1)
	for _, item := range items {
		var change ccsettings.Change
		if err := json.Unmarshal(item.Value, &change); err != nil {
			return nil, &Error{Op: "read " + item.Key, Kind: KindRecord, Err: err}
		}
		if change.Version < head.Version {
			changes = append(changes, change)
		}
	}
	if head.Version > 0 {
		changes = append(changes, head.Change)
	}
	return changes, nil
}

// finish writes the history of an accepted version, and removes old records now
// and then. If it fails, the next writer does the same.
func (w *Writer) finish(ctx context.Context, head ccsettings.Head) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTime)
	defer cancel()
	if err := w.create(ctx, ccsettings.HistoryKey(head.Version), head.Change); err != nil {
		w.cfg.Log.Info("History is not written yet. The next change writes it.", "version", head.Version, "reason", err.Error())
		return
	}
	if head.Version%sweepEvery == 0 {
		w.sweep(ctx, head)
	}
}

// abandon removes the section of a change that certainly was not accepted.
func (w *Writer) abandon(ctx context.Context, plan *ccsettings.Plan, err error) {
	if KindOf(err) == KindUnknown {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTime)
	defer cancel()
	w.remove(ctx, ccsettings.SectionKey(plan.Record.Name, plan.Record.Revision))
}

// sweep removes what is too old of the history, and of the sections that are no
// longer in force.
func (w *Writer) sweep(ctx context.Context, head ccsettings.Head) {
	w.sweepPrefix(ctx, ccsettings.HistoryPrefix, func(key string) bool {
		version := ccsettings.RevisionVersion(strings.TrimPrefix(key, ccsettings.HistoryPrefix))
		return version+w.cfg.Keep < head.Version
	})
	w.sweepPrefix(ctx, ccsettings.SectionPrefix, func(key string) bool {
		name, revision, _ := strings.Cut(strings.TrimPrefix(key, ccsettings.SectionPrefix), "/")
		return ccsettings.RevisionVersion(revision)+keepSections < head.Version && head.Sections[name] != revision
	})
}

func (w *Writer) sweepPrefix(ctx context.Context, prefix string, isOld func(key string) bool) {
	items, err := listRetry(ctx, w.cfg.Store, prefix)
	if err != nil {
		w.cfg.Log.Info("Old settings are not removed yet.", "reason", err.Error())
		return
	}
	for _, item := range items {
		if isOld(item.Key) {
			_ = w.cfg.Store.Delete(ctx, item.Key, item.Revision)
		}
	}
}

func (w *Writer) remove(ctx context.Context, key string) {
	item, err := w.cfg.Store.Get(ctx, key)
	if err != nil || item.Revision == 0 {
		return
	}
	_ = w.cfg.Store.Delete(ctx, key, item.Revision)
}

// listRetry lists a prefix, and tries again a few times when the store doesn't
// answer.
func listRetry(ctx context.Context, store source, prefix string) ([]ccstore.Item, error) {
	var wait backoff
	for try := 1; ; try++ {
		items, _, err := store.List(ctx, prefix)
		if err == nil {
			return items, nil
		}
		if try == sectionTries || wait.pause(ctx) != nil {
			return nil, &Error{Op: "list " + prefix, Kind: KindStore, Err: err}
		}
	}
}
