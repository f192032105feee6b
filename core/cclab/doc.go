// Package cclab simulates a fleet under load, to compare scheduling policies without a
// network.
//
// A Lab runs the real decisions of entries (core/ccreplay) and agents (core/cclease) on a
// simulated clock, with model workers and callers. An entry has a limited processor: each
// event costs it time, and events wait in a queue of their own while it is busy, as they
// do in the sockets of a real process. The same seed gives the same result.
//
// # Usage
//
//	result := cclab.New(cclab.Config{Seed: 1, Domains: 5, Entries: entries, Agents: 53, Classes: classes, Duration: 10 * time.Second}).Run()
//	fmt.Println(result.Share("north", 2*time.Second, 10*time.Second))
package cclab
