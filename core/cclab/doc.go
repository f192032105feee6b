// Package cclab simulates a fleet under load, to compare scheduling policies without a
// network.
//
// A Lab runs the real decisions of entries (core/ccreplay) and agents (core/cclease) on a
// simulated clock, with model workers and callers. An entry has a limited processor: each
// event costs it time, and events wait in a queue of their own while it is busy, as they
// do in the sockets of a real process. The same seed gives the same result.
//
// CompetingCallers and UnevenDomains are the overload days of deploy/days on a model fleet.
// Reference replays the arrivals of a result with exact knowledge and serves the most credit
// that list scheduling can, as a bound to compare with. It serves more than real decisions can:
// it gives up jobs of which a part can't end in time before it starts them.
//
// # Usage
//
//	result := cclab.New(cclab.Config{Seed: 1, Domains: 5, Entries: entries, Agents: 53, Classes: classes, Duration: 10 * time.Second}).Run()
//	fmt.Println(result.Share("north", 2*time.Second, 10*time.Second))
package cclab
