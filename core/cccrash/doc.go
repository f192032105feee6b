// Package cccrash finds the tasks that crash the workers that run them.
//
// When a worker crashes, all tasks that were running there are suspects. A Ledger counts
// the crashes of each task over all workers. A task that was in maxCrashes crashes, or in
// two with runs of the same length as the only one, counts as their cause, and the tasks
// beside it do not: a crash has one cause. The class of its job is then isolated until no
// worker has crashed under it for a while: its tasks run on a small part of the workers,
// which run nothing else, so that the others keep serving. Those that crashed under it are
// the first of them.
//
// If two crashes shortly after each other have suspects of one class whose runs were alike,
// the class is held for some ten milliseconds: only the suspect of the earlier crash runs,
// until its worker has crashed again or not.
//
// The entries of a fleet reach the same verdicts, since agents report each crash to all of
// them.
//
// # Usage
//
//	ledger := cccrash.NewLedger()
//	findings, isNew := ledger.Record(now, agent, report)
//	if ledger.IsCause(task) {
//		// The task is not started again.
//	}
package cccrash
