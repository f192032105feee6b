package ccsettings

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

// editTries is how often an edit is made again after it lost to another change.
const editTries = 16

// WriterStore is what a Writer needs of the store.
type WriterStore interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error)
	Delete(ctx context.Context, key string, expected uint64) error
}

// WriterConfig configures a Writer.
type WriterConfig struct {
	Store WriterStore
	Log   logr.Logger
	// Now is the clock that dates changes. Nil is time.Now.
	Now func() time.Time
	// NewMark returns a mark that no other attempt has. Nil draws a UUID.
	NewMark func() string
	// Keep is how many versions the history keeps, and the sections that they
	// wrote. Zero is 2,048.
	Keep uint64
}

// Writer changes the settings. It is safe for concurrent use.
type Writer struct{ cfg WriterConfig }

// NewWriter returns a writer.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.NewMark == nil {
		cfg.NewMark = uuid.NewString
	}
	if cfg.Keep == 0 {
		cfg.Keep = defaultKeep
	}
	return &Writer{cfg: cfg}
}

// Request is a change that an operator asks for.
type Request struct {
	Section string
	File    string // Names the text in errors.
	Text    string
	By      string
	// Base, if not zero, refuses the change when the section was changed after
	// that version.
	Base uint64
}

// Result is an accepted change.
type Result struct {
	Change ccsettings.Change `json:"change"`
	// Conflicts are the keys on which teams disagree now.
	Conflicts []ccsettings.Conflict `json:"conflicts"`
	// Unchanged tells that the section had this text already. Change is then the
	// one in force.
	Unchanged bool `json:"unchanged"`
}

// Propose makes the text the section's, unless the checks refuse it or another
// change is accepted first. An error of KindRaced says what changed. It tries until the context ends while the store doesn't answer.
func (w *Writer) Propose(ctx context.Context, r Request) (*Result, error) {
	present, err := w.Load(ctx)
	if err != nil {
		return nil, err
	}
	return w.propose(ctx, present, r)
}

// Edit changes a section's text by a function of the present text. After a race
// it starts again from what is then present, a few times.
func (w *Writer) Edit(ctx context.Context, section, by string, edit func(text string) (string, error)) (*Result, error) {
	var wait backoff
	for try := 1; ; try++ {
		present, err := w.Load(ctx)
		if err != nil {
			return nil, err
		}
		text, err := edit(present.Texts[section])
		if err != nil {
			return nil, &Error{Op: "edit", Kind: KindInvalid, Err: err}
		}
		result, err := w.propose(ctx, present, Request{Section: section, File: "section " + section, Text: text, By: by})
		if KindOf(err) != KindRaced || try == editTries || wait.pause(ctx) != nil {
			return result, err
		}
	}
}

func (w *Writer) propose(ctx context.Context, present *Snapshot, r Request) (*Result, error) {
	revision, exists := present.Head.Sections[r.Section]
	if r.Base > 0 && ccsettings.RevisionVersion(revision) > r.Base {
		return nil, w.raced(ctx, r.Base, present.Head)
	}
	if exists && present.Texts[r.Section] == r.Text {
		return &Result{Change: present.Head.Change, Conflicts: present.Merged.Conflicts, Unchanged: true}, nil
	}
	plan, err := ccsettings.NewPlan(w.cfg.Now(), present.present(), ccsettings.Proposal{
		Section: r.Section, File: r.File, Text: r.Text, Operator: r.By, Writer: w.cfg.NewMark(),
	})
	if err != nil {
		return nil, &Error{Op: "propose", Kind: KindInvalid, Err: err}
	}
	if err := w.prepare(ctx, present.Head, plan); err != nil {
		return nil, err
	}
	if err := w.swapHead(ctx, present, plan); err != nil {
		w.abandon(ctx, plan, err)
		return nil, err
	}
	w.finish(ctx, plan.Head)
	return &Result{Change: plan.Head.Change, Conflicts: plan.Conflicts}, nil
}

// prepare writes what must be there before the head is replaced: the history of
// the version to be replaced, and the section.
func (w *Writer) prepare(ctx context.Context, present ccsettings.Head, plan *ccsettings.Plan) error {
	if present.Version > 0 {
		if err := w.create(ctx, ccsettings.HistoryKey(present.Version), present.Change); err != nil {
			return err
		}
	}
	return w.create(ctx, ccsettings.SectionKey(plan.Record.Name, plan.Record.Revision), plan.Record)
}

// create writes a key that has the same content whoever writes it. So a key that
// is there already, maybe by a write whose answer was lost, is as good.
func (w *Writer) create(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &Error{Op: "write " + key, Kind: KindInvalid, Err: err}
	}
	var wait backoff
	for {
		_, err := w.cfg.Store.Swap(ctx, key, 0, data, ccstore.NoLease)
		kind := ccstore.KindOf(err)
		if err == nil || kind == ccstore.KindConflict {
			return nil
		}
		if kind == ccstore.KindInvalid {
			return &Error{Op: "write " + key, Kind: KindInvalid, Err: err}
		}
		if wait.pause(ctx) != nil {
			return &Error{Op: "write " + key, Kind: KindStore, Err: err}
		}
	}
}

// Load reads the version in force, with its sections.
func (w *Writer) Load(ctx context.Context) (*Snapshot, error) {
	return loadSnapshot(ctx, w.cfg.Store)
}
