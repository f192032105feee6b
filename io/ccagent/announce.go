package ccagent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccstore"

	"github.com/juju/errors"
)

const (
	recordKey      = "cells/0"
	announceDelay  = 100 * time.Millisecond
	announceJitter = 200 * time.Millisecond
)

// announce writes this agent into the cell's record, so that entries find it.
func (a *Agent) announce() {
	for a.ctx.Err() == nil {
		err := a.changeRecord(a.ctx, func(record *ccwire.CellRecord) {
			a.drop(record)
			record.Members = append(record.Members, a.member(false))
		})
		if err == nil {
			return
		}
		a.log.V(1).Info("Record was not written.", "reason", err.Error())
		a.sleep(announceDelay + rand.N(announceJitter))
	}
}

func (a *Agent) announceLeaving(ctx context.Context) {
	a.tell(ctx, func(record *ccwire.CellRecord) {
		a.drop(record)
		record.Members = append(record.Members, a.member(true))
	})
}

func (a *Agent) announceGone() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.tell(ctx, a.drop)
}

// tell changes the record with a few tries; entries learn the rest from the
// connection.
func (a *Agent) tell(ctx context.Context, change func(*ccwire.CellRecord)) {
	for range 5 {
		err := a.changeRecord(ctx, change)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.sleep(rand.N(announceDelay))
	}
}

// drop takes this node out of the record and notes its earlier lives, and this
// one, as departed.
func (a *Agent) drop(record *ccwire.CellRecord) {
	record.Members = slices.DeleteFunc(record.Members, func(m ccwire.Member) bool {
		if m.Node.ID != a.cfg.Node.ID {
			return false
		}
		if m.Node != a.cfg.Node {
			record.Departed = append(record.Departed, ccwire.Departure{Node: m.Node, At: time.Now().UnixMilli()})
		}
		return true
	})
}

// changeRecord reads, changes and swaps the record. An answer that is lost is
// harmless: each change may be made twice.
func (a *Agent) changeRecord(ctx context.Context, change func(*ccwire.CellRecord)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.stats.storeCalls.Add(2)
	item, err := a.cfg.Store.Get(ctx, recordKey)
	if err != nil {
		return errors.Trace(err)
	}
	record := ccwire.CellRecord{}
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return errors.Annotate(err, "read the record")
		}
	}
	change(&record)
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = a.cfg.Store.Swap(ctx, recordKey, item.Revision, value, ccstore.NoLease)
	return errors.Trace(err)
}

// sleep waits, or returns early when the agent closes.
func (a *Agent) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}
