// Package cclease implements the control logic of an agent whose worker runs
// tasks under a lease. It does no I/O and reads no clock.
//
// The agent is the only caller of its worker. Entries send it orders. The Manager
// checks each order against the worker's free capacity, translates it into calls
// to the worker, renews the worker's lease while any run is active, and reports to
// each entry how its runs ended.
//
// # When a run has ended
//
// A task may be started on another worker only when its previous run has certainly
// ended: the worker's answers show that it is over or that the worker is gone, or the last
// lease that the worker may have received has expired. A heartbeat shows neither, since any
// process can send one. Three rules bound that time without any further communication:
//
//   - The runs of an entry that has not been heard from for OwnerTimeout are
//     stopped.
//   - If the worker has not confirmed a stop within StopGrace of when it was due, the
//     lease, which covers all runs of the worker, is no longer renewed, by calls of any
//     kind. That holds even if ticks are so late that the stop has not been requested.
//   - A lease lasts at most LeaseDuration.
//
// So no run that an entry started on an agent is active RunsExpireAfter after the
// entry last heard from that agent, even if the agent has failed.
//
// # Usage
//
//	manager := cclease.NewManager(cclease.Config{Token: token, StartTime: now})
//	manager.Heartbeat(now, worker)
//	manager.SessionOpened(now, entry, requestedAt)
//	manager.OrdersReceived(now, entry.ID, orders)
//	for _, call := range manager.Take().Starts { … }
package cclease
