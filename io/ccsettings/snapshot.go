package ccsettings

import (
	"context"
	"fmt"
	"sync"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

// fetchers is how many sections are read at once.
const fetchers = 8

// listFrom is from how many missing sections on they are listed by one call, with
// those that are no longer in force, in place of one call each.
const listFrom = 16

// Snapshot is one version in full. Treat it as read-only.
type Snapshot struct {
	Head     ccsettings.Head
	Sections map[string]*ccsettings.Section
	Texts    map[string]string // The sections as they were written.
	Merged   *ccsettings.Merged
	revision uint64 // The head's revision in the store, where a writer needs it.
}

// emptySnapshot is what holds before the first change.
func emptySnapshot() *Snapshot {
	return &Snapshot{
		Sections: map[string]*ccsettings.Section{},
		Texts:    map[string]string{},
		Merged:   &ccsettings.Merged{Effective: ccsettings.Default(), Values: ccsettings.Values{}},
	}
}

// next returns the snapshot that a head describes. Sections that stand in this
// snapshot under the same revision are not read again.
func (s *Snapshot) next(ctx context.Context, store source, head ccsettings.Head) (*Snapshot, error) {
	next := &Snapshot{Head: head, Sections: map[string]*ccsettings.Section{}, Texts: map[string]string{}}
	var missing []string
	for name, revision := range head.Sections {
		if s.Head.Sections[name] != revision {
			missing = append(missing, name)
			continue
		}
		next.Sections[name], next.Texts[name] = s.Sections[name], s.Texts[name]
	}
	if err := next.fetch(ctx, store, missing); err != nil {
		return nil, err
	}
	merged, err := ccsettings.Merge(head, next.Sections, nil)
	if err != nil {
		return nil, &Error{Op: "merge", Kind: KindRecord, Err: err}
	}
	next.Merged = merged
	return next, nil
}

// fetch reads sections from the store.
func (s *Snapshot) fetch(ctx context.Context, store source, names []string) error {
	if len(names) < listFrom {
		return s.fetchEach(ctx, store, names)
	}
	items, _, err := store.List(ctx, ccsettings.SectionPrefix)
	if err != nil {
		return s.fetchEach(ctx, store, names) // The list may be too long for one answer.
	}
	listed := make(map[string]ccstore.Item, len(items))
	for _, item := range items {
		listed[item.Key] = item
	}
	var missing []string
	for _, name := range names {
		item, ok := listed[ccsettings.SectionKey(name, s.Head.Sections[name])]
		if !ok {
			missing = append(missing, name)
			continue
		}
		text, section, err := parseSection(name, item)
		if err != nil {
			return err
		}
		s.Sections[name], s.Texts[name] = section, text
	}
	return s.fetchEach(ctx, store, missing)
}

// fetchEach reads sections one by one, a few at once.
func (s *Snapshot) fetchEach(ctx context.Context, store source, names []string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex // Guards the snapshot's maps.
	var wg sync.WaitGroup
	room := make(chan struct{}, fetchers)
	for _, name := range names {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			text, section, err := fetchSection(ctx, store, name, s.Head.Sections[name])
			if err != nil {
				cancel(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.Sections[name], s.Texts[name] = section, text
		})
	}
	wg.Wait()
	return context.Cause(ctx)
}

func fetchSection(ctx context.Context, store source, name, revision string) (string, *ccsettings.Section, error) {
	key := ccsettings.SectionKey(name, revision)
	item, err := getRetry(ctx, store, key)
	if err != nil {
		return "", nil, err
	}
	if item.Revision == 0 {
		err := fmt.Errorf("the head names %s, which isn't there", key)
		return "", nil, &Error{Op: "read section", Kind: KindRecord, Err: err}
	}
	return parseSection(name, item)
}

func parseSection(name string, item ccstore.Item) (string, *ccsettings.Section, error) {
	record, section, err := ccsettings.ParseSectionRecord(item.Value)
	if err != nil {
		return "", nil, &Error{Op: "read section", Kind: KindRecord, Err: err}
	}
	if record.Name != name {
		err := fmt.Errorf("%s holds section %s", item.Key, record.Name)
		return "", nil, &Error{Op: "read section", Kind: KindRecord, Err: err}
	}
	return record.Text, section, nil
}

// loadSnapshot reads the version in force. A section that vanishes between two
// reads belongs to a head that was replaced, so the head is read again.
func loadSnapshot(ctx context.Context, store source) (*Snapshot, error) {
	var wait backoff
	for try := 1; ; try++ {
		loaded, err := loadOnce(ctx, store)
		if err == nil {
			return loaded, nil
		}
		if try == headTries || wait.pause(ctx) != nil {
			return nil, err
		}
	}
}

func loadOnce(ctx context.Context, store source) (*Snapshot, error) {
	item, err := getRetry(ctx, store, ccsettings.HeadKey)
	if err != nil || item.Revision == 0 {
		return emptySnapshot(), err
	}
	head, err := ccsettings.ParseHead(item.Value)
	if err != nil {
		return nil, &Error{Op: "read head", Kind: KindRecord, Err: err}
	}
	loaded, err := emptySnapshot().next(ctx, store, head)
	if err != nil {
		return nil, err
	}
	loaded.revision = item.Revision
	return loaded, nil
}

func (s *Snapshot) present() ccsettings.Base {
	return ccsettings.Base{Head: s.Head, Sections: s.Sections, Values: s.Merged.Values}
}
