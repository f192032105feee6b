package cccell

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/io/ccstore"
)

// callStore does an action towards the store and posts its answer.
func (r *Runner) callStore(action cccell.Action, sent time.Time) {
	ctx, cancel := context.WithTimeout(r.cfg.Context, storeTimeout)
	defer cancel()
	m := r.machine
	switch action.Op {
	case cccell.OpRead:
		look := r.look(ctx, action)
		r.cfg.Post(func(now time.Time) { m.HandleRead(now, look) })
	case cccell.OpCampaign:
		stand := r.stand(ctx, action, sent)
		r.cfg.Post(func(now time.Time) { m.HandleCampaign(now, stand) })
	case cccell.OpRenew:
		r.cfg.StoreCalls.Add(1)
		fault := faultOf(r.cfg.Store.Renew(ctx, ccstore.LeaseID(action.Lease)))
		r.cfg.Post(func(now time.Time) { m.HandleRenew(now, fault, sent) })
	case cccell.OpWrite:
		revision, err := r.swap(ctx, cccell.RecordKey(r.cfg.Cell), action.Expected, action.Record, ccstore.NoLease)
		r.cfg.Post(func(now time.Time) { m.HandleWrite(now, faultOf(err), action.Record, revision) })
	default:
		r.cfg.StoreCalls.Add(1)
		_ = r.cfg.Store.Revoke(ctx, ccstore.LeaseID(action.Lease))
		r.cfg.Post(func(time.Time) { m.HandleResign() })
	}
}

// look reads the lead's key, and the record when it may matter.
func (r *Runner) look(ctx context.Context, action cccell.Action) cccell.StoreState {
	look := cccell.StoreState{}
	lead := &cccell.LeaderRecord{}
	item, err := r.get(ctx, cccell.LeaderKey(r.cfg.Cell), lead)
	if err != nil {
		return cccell.StoreState{Outcome: cccell.OutcomeUnknown}
	}
	if item.Revision != 0 {
		look.Leader, look.LeaderRevision, look.LeaderLease = lead, item.Revision, uint64(item.Lease)
		if lead.Node.ID != r.cfg.Self.Node.ID && !action.WithRecord {
			return look
		}
	}
	item, err = r.get(ctx, cccell.RecordKey(r.cfg.Cell), &look.Record)
	if err != nil {
		return cccell.StoreState{Outcome: cccell.OutcomeUnknown}
	}
	look.RecordRevision = item.Revision
	return look
}

// stand grants a lease and swaps the lead's key under it. The lease counts from
// before it was asked for.
func (r *Runner) stand(ctx context.Context, action cccell.Action, sent time.Time) cccell.CampaignResult {
	r.cfg.StoreCalls.Add(1)
	lease, err := r.cfg.Store.Grant(ctx, cccell.LeaseTTL)
	if err != nil {
		return cccell.CampaignResult{Outcome: cccell.OutcomeUnknown}
	}
	mine := cccell.LeaderRecord{Node: r.cfg.Self.Node, Addr: r.cfg.Self.Addr}
	_, err = r.swap(ctx, cccell.LeaderKey(r.cfg.Cell), action.Expected, mine, lease)
	return cccell.CampaignResult{Outcome: faultOf(err), Lease: uint64(lease), Sent: sent}
}

func (r *Runner) get(ctx context.Context, key string, into any) (ccstore.Item, error) {
	r.cfg.StoreCalls.Add(1)
	item, err := r.cfg.Store.Get(ctx, key)
	if err != nil || item.Revision == 0 {
		return item, err
	}
	if err := json.Unmarshal(item.Value, into); err != nil {
		return item, &Error{Op: "read " + key, Kind: KindValue, Err: err}
	}
	return item, nil
}

func (r *Runner) swap(ctx context.Context, key string, expected uint64, value any, lease ccstore.LeaseID) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, &Error{Op: "write " + key, Kind: KindValue, Err: err}
	}
	r.cfg.StoreCalls.Add(1)
	return r.cfg.Store.Swap(ctx, key, expected, data, lease)
}

func faultOf(err error) cccell.Outcome {
	var known *ccstore.Error
	switch {
	case err == nil:
		return cccell.OutcomeOK
	case !errors.As(err, &known):
		return cccell.OutcomeUnknown
	case known.Kind == ccstore.KindConflict:
		return cccell.OutcomeConflict
	case known.Kind == ccstore.KindLeaseGone:
		return cccell.OutcomeLeaseGone
	default:
		return cccell.OutcomeUnknown
	}
}
