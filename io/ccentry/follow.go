package ccentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccstore"
)

const (
	cellPrefix    = "cells/"
	cellReader    = "cellRecords" // Counts malformed items.
	watchWait     = 20 * time.Second
	storeRetry    = 200 * time.Millisecond
	storeDeadline = 2 * time.Second
)

// followCells keeps a link to each agent that the cells' records name.
func (e *Entry) followCells(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.watchCells(ctx)
		e.log.V(1).Info("Cells can't be read.", "error", err.Error())
		sleep(ctx, storeRetry/2+time.Duration(rand.Int64N(int64(storeRetry))))
	}
}

// watchCells lists all records and then follows changes until a call fails. It
// always returns an error.
func (e *Entry) watchCells(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeDeadline)
	items, revision, err := e.cfg.Store.List(listCtx, cellPrefix)
	cancel()
	if err != nil {
		return err
	}
	for {
		e.takeCells(items)
		change, err := e.cfg.Store.Watch(ctx, cellPrefix, revision, watchWait)
		if err != nil {
			return err
		}
		items, revision = change.Items, change.Revision
	}
}

func (e *Entry) takeCells(items []ccstore.Item) {
	for _, item := range items {
		if item.Revision == 0 {
			continue // A record that is gone tells nothing of its members.
		}
		record, err := readCell(item)
		if err != nil {
			e.malformed.Skip(cellReader, item.Key, err)
			continue
		}
		e.do(func(now time.Time) { e.takeCell(now, record) })
	}
}

// readCell decodes a cell's record.
func readCell(item ccstore.Item) (*ccwire.CellRecord, error) {
	record := &ccwire.CellRecord{}
	if err := json.Unmarshal(item.Value, record); err != nil {
		return nil, err
	}
	if item.Key != cccell.RecordKey(record.Cell) {
		return nil, errOtherKey
	}
	return record, nil
}

// isCellKey reports whether a key is that of a cell's record.
func isCellKey(key string) bool {
	cell, err := strconv.Atoi(strings.TrimPrefix(key, cellPrefix))
	return err == nil && cell >= 0 && key == cccell.RecordKey(cell)
}

func (e *Entry) takeCell(now time.Time, record *ccwire.CellRecord) {
	e.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindCell, Index: ccevent.NoIndex, Peer: record.Leader.ID, Count: len(record.Members)})
	e.presence.noteCell(now, record)
	members := make(map[ccnode.ID]ccnode.Ref, len(record.Members))
	for i := range record.Members {
		members[record.Members[i].Node.ID] = record.Members[i].Node
	}
	for _, departure := range record.Departed {
		if _, back := members[departure.Node.ID]; !back {
			e.disconnect(now, departure.Node.ID)
		}
		e.dispatcher.AgentDeparted(now, departure.Node)
	}
	e.chooseAgents(now)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
