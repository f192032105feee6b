// Package ccreplay schedules an entry's replayable jobs, whose tasks may run more
// than once.
//
// A replayable job is not persisted. The entry that accepted it owns it while its
// caller waits; if the entry is lost, the caller submits the job again. A task may
// run again only once its earlier run has certainly ended, never while that run may
// still be alive. Package cclease defines when a run has certainly ended.
//
// The Scheduler holds the jobs, the known state of each agent, and the queue. Each
// event is passed in together with the current time; Take returns the messages and
// answers to send.
//
// # Usage
//
//	scheduler := ccreplay.New(ccreplay.Config{Self: self, Domain: "north"})
//	scheduler.SetPlan(now, plan)
//	scheduler.Attach(now, attach)
//	scheduler.Submit(now, request)
//	for _, answer := range scheduler.Take().Answers { … }
package ccreplay
