// Package ccinventory finds the processes of the fleet through the store, and
// asks each how it stands.
//
// # Usage
//
//	inventory, err := ccinventory.Read(ctx, store)
//	statuses := ccinventory.Ask(ctx, ccinventory.AskConfig{}, inventory.Nodes)
package ccinventory

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccstore"
)

// Keys in the store.
const (
	rosterKey  = "entries/roster"
	headKey    = "settings/head"
	cellPrefix = "cells/"
)

// Store is the part of the platform's service that the inventory reads.
type Store interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
}

// Role is what a process is.
type Role string

const (
	// RoleEntry is a process that takes jobs.
	RoleEntry Role = "entry"
	// RoleAgent is a process beside a target.
	RoleAgent Role = "agent"
)

// Node is one process as the store knows it.
type Node struct {
	Ref     ccnode.Ref     `json:"ref"`
	Role    Role           `json:"role"`
	HTTP    netip.AddrPort `json:"http,omitzero"`
	Domain  string         `json:"domain"`
	Service string         `json:"service,omitempty"`
	Slots   int            `json:"slots,omitempty"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Inventory is the whole fleet as the store knows it.
type Inventory struct {
	// Version is the newest accepted version of the settings.
	Version uint64 `json:"version"`
	Nodes   []Node `json:"nodes"` // Entries first, each by ID.
	// Malformed is the number of items among the cells' records that can't be read, and
	// MalformedKeys has the keys of the first ones.
	Malformed     int      `json:"malformed,omitempty"`
	MalformedKeys []string `json:"malformedKeys,omitempty"`
}

// maxMalformedKeys is how many malformed items an inventory names.
const maxMalformedKeys = 16

// Read reads the inventory in three calls. Keys that are missing count as empty.
func Read(ctx context.Context, store Store) (Inventory, error) {
	var inventory Inventory
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := get(ctx, store, headKey, &head); err != nil {
		return inventory, err
	}
	inventory.Version = head.Version
	var roster ccroster.Roster
	if err := get(ctx, store, rosterKey, &roster); err != nil {
		return inventory, err
	}
	for _, entry := range roster.Entries {
		inventory.Nodes = append(inventory.Nodes, Node{
			Ref: entry.Ref, Role: RoleEntry, HTTP: entry.HTTP, Domain: entry.Domain, Leaving: entry.Leaving,
		})
	}
	if err := inventory.readAgents(ctx, store); err != nil {
		return inventory, err
	}
	slices.SortFunc(inventory.Nodes, func(a, b Node) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	return inventory, nil
}

// readAgents adds the agents of all cells. Items of another writer are left out.
func (i *Inventory) readAgents(ctx context.Context, store Store) error {
	items, _, err := store.List(ctx, cellPrefix)
	if err != nil {
		return &Error{Op: "list " + cellPrefix, Kind: KindStore, Err: err}
	}
	for _, item := range items {
		var record ccwire.CellRecord
		if err := decode(item, &record); err != nil || item.Key != cccell.RecordKey(record.Cell) {
			i.Malformed++
			if len(i.MalformedKeys) < maxMalformedKeys {
				i.MalformedKeys = append(i.MalformedKeys, item.Key)
			}
			continue
		}
		for _, member := range record.Members {
			i.Nodes = append(i.Nodes, Node{
				Ref: member.Node, Role: RoleAgent, HTTP: member.HTTP, Domain: member.Domain,
				Service: member.Service, Slots: member.Slots, Leaving: member.Leaving,
			})
		}
	}
	return nil
}

func get(ctx context.Context, store Store, key string, value any) error {
	item, err := store.Get(ctx, key)
	if err != nil {
		return &Error{Op: "get " + key, Kind: KindStore, Err: err}
	}
	return decode(item, value)
}

func decode(item ccstore.Item, value any) error {
	if item.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(item.Value, value); err != nil {
		return &Error{Op: "read " + item.Key, Kind: KindValue, Err: err}
	}
	return nil
}

// Kind sorts the errors of this package.
type Kind string

const (
	// KindStore is a store that did not answer.
	KindStore Kind = "store"
	// KindValue is a value in the store that can't be read.
	KindValue Kind = "value"
	// KindSilent is a process that did not answer.
	KindSilent Kind = "silent"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("inventory: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
