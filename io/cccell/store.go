package cccell

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/io/ccstore"
)

// callStore executes a store action and posts its result.
func (r *Runner) callStore(action cccell.Action, sent time.Time) {
	ctx, cancel := context.WithTimeout(r.cfg.Context, storeTimeout)
	defer cancel()
	m := r.machine
	switch action.Op {
	case cccell.OpRead:
		state := r.readState(ctx, action)
		r.cfg.Post(func(now time.Time) { m.HandleRead(now, state) })
	case cccell.OpCampaign:
		result := r.campaign(ctx, action, sent)
		r.cfg.Post(func(now time.Time) { m.HandleCampaign(now, result) })
	case cccell.OpRenew:
		r.cfg.StoreCalls.Add(1)
		outcome := outcomeOf(r.cfg.Store.Renew(ctx, ccstore.LeaseID(action.Lease)))
		r.cfg.Post(func(now time.Time) { m.HandleRenew(now, outcome, sent) })
	case cccell.OpWrite:
		revision, err := r.swap(ctx, cccell.RecordKey(r.cfg.Cell), action.Expected, action.Record, ccstore.NoLease)
		r.cfg.Post(func(now time.Time) { m.HandleWrite(now, outcomeOf(err), action.Record, revision) })
	default:
		r.cfg.StoreCalls.Add(1)
		_ = r.cfg.Store.Revoke(ctx, ccstore.LeaseID(action.Lease))
		r.cfg.Post(func(time.Time) { m.HandleResign() })
	}
}

// readState reads the leader's key. It reads the cell's record too if the action
// asks for it, or if the key is missing or names this agent.
func (r *Runner) readState(ctx context.Context, action cccell.Action) cccell.StoreState {
	state := cccell.StoreState{}
	leader := &cccell.LeaderRecord{}
	item, err := r.get(ctx, cccell.LeaderKey(r.cfg.Cell), leader)
	if err != nil {
		return cccell.StoreState{Outcome: cccell.OutcomeUnknown}
	}
	if item.Revision != 0 {
		state.Leader, state.LeaderRevision, state.LeaderLease = leader, item.Revision, uint64(item.Lease)
		if leader.Node.ID != r.cfg.Self.Node.ID && !action.WithRecord {
			return state
		}
	}
	item, err = r.get(ctx, cccell.RecordKey(r.cfg.Cell), &state.Record)
	if err != nil {
		return cccell.StoreState{Outcome: cccell.OutcomeUnknown}
	}
	state.RecordRevision = item.Revision
	return state
}

// campaign grants a lease and swaps the leader's key under it. The lease is measured
// from sent, a time before the grant was requested.
func (r *Runner) campaign(ctx context.Context, action cccell.Action, sent time.Time) cccell.CampaignResult {
	r.cfg.StoreCalls.Add(1)
	lease, err := r.cfg.Store.Grant(ctx, cccell.LeaseTTL)
	if err != nil {
		return cccell.CampaignResult{Outcome: cccell.OutcomeUnknown}
	}
	record := cccell.LeaderRecord{Node: r.cfg.Self.Node, Addr: r.cfg.Self.Addr}
	_, err = r.swap(ctx, cccell.LeaderKey(r.cfg.Cell), action.Expected, record, lease)
	return cccell.CampaignResult{Outcome: outcomeOf(err), Lease: uint64(lease), Sent: sent}
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

func outcomeOf(err error) cccell.Outcome {
	var storeErr *ccstore.Error
	switch {
	case err == nil:
		return cccell.OutcomeOK
	case !errors.As(err, &storeErr):
		return cccell.OutcomeUnknown
	case storeErr.Kind == ccstore.KindConflict:
		return cccell.OutcomeConflict
	case storeErr.Kind == ccstore.KindLeaseGone:
		return cccell.OutcomeLeaseGone
	default:
		return cccell.OutcomeUnknown
	}
}
