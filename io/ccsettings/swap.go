package ccsettings

import (
	"context"
	"encoding/json"
	"errors"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

// swapHead replaces the head, and reads back what became of it when the store
// doesn't say.
func (w *Writer) swapHead(ctx context.Context, present *Snapshot, plan *ccsettings.Plan) error {
	data, err := json.Marshal(plan.Head)
	if err != nil {
		return &Error{Op: "propose", Kind: KindInvalid, Err: err}
	}
	var wait backoff
	unsure := false // Whether an earlier try may have taken effect.
	for {
		_, err := w.cfg.Store.Swap(ctx, ccsettings.HeadKey, present.revision, data, ccstore.NoLease)
		if err == nil {
			return nil
		}
		switch kind := ccstore.KindOf(err); kind {
		case ccstore.KindInvalid, ccstore.KindLeaseGone:
			return &Error{Op: "propose", Kind: KindInvalid, Err: err}
		case ccstore.KindUnavailable:
		default:
			unsure = unsure || kind != ccstore.KindConflict
			if settled, err := w.settle(ctx, plan, unsure); settled {
				return err
			}
		}
		if wait.pause(ctx) != nil {
			return gaveUp(unsure, err)
		}
	}
}

func gaveUp(unsure bool, err error) error {
	kind := KindStore
	if unsure {
		kind = KindUnknown
	}
	return &Error{Op: "propose", Kind: kind, Err: err}
}

// settle reads back what became of a swap. It is false when the swap should be
// made again.
func (w *Writer) settle(ctx context.Context, plan *ccsettings.Plan, unsure bool) (bool, error) {
	item, err := getRetry(ctx, w.cfg.Store, ccsettings.HeadKey)
	if err != nil {
		return ctx.Err() != nil, gaveUp(unsure, err)
	}
	now, err := ccsettings.ParseHead(item.Value)
	if err != nil {
		return true, &Error{Op: "propose", Kind: KindUnknown, Err: err}
	}
	var change *ccsettings.Change
	if now.Version > plan.Head.Version {
		if change, err = w.change(ctx, plan.Head.Version); err != nil {
			return ctx.Err() != nil, gaveUp(unsure, err)
		}
	}
	switch ccsettings.SwapOutcomeOf(plan.Head, now, change) {
	case ccsettings.SwapAccepted:
		return true, nil
	case ccsettings.SwapPending:
		return false, nil
	case ccsettings.SwapLost:
		return true, w.raced(ctx, plan.Head.Version-1, now)
	default:
		return true, &Error{Op: "propose", Kind: KindUnknown, Err: errors.New("the history no longer has that version")}
	}
}

// change returns the history's record of a version, or nil if there is none.
func (w *Writer) change(ctx context.Context, version uint64) (*ccsettings.Change, error) {
	item, err := getRetry(ctx, w.cfg.Store, ccsettings.HistoryKey(version))
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	change := &ccsettings.Change{}
	if err := json.Unmarshal(item.Value, change); err != nil {
		return nil, &Error{Op: "read history", Kind: KindRecord, Err: err}
	}
	return change, nil
}
