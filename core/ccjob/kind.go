package ccjob

// Kind says why a job was refused or failed. Clients see it, so its values
// never change.
type Kind string

const (
	// KindInvalid is a request that can't be understood or breaks a limit.
	KindInvalid Kind = "invalid"
	// KindUnknownService is a service that the settings don't name.
	KindUnknownService Kind = "unknownService"
	// KindTooLarge is a body, payload or task list over its limit.
	KindTooLarge Kind = "tooLarge"
	// KindConflict is a known job ID with other content.
	KindConflict Kind = "conflict"
	// KindUnprovable is a job ID that may have run before and can't be proved new.
	KindUnprovable Kind = "unprovable"
	// KindQuota is a team over its quota.
	KindQuota Kind = "quota"
	// KindOverload is a queue or table at its bound.
	KindOverload Kind = "overload"
	// KindNoTarget is a service with no target that may start work.
	KindNoTarget Kind = "noTarget"
	// KindUnavailable is a node that may not accept work now.
	KindUnavailable Kind = "unavailable"
	// KindDraining is a node that is stopping.
	KindDraining Kind = "draining"
	// KindDeadline is a job whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindCanceled is a job that its client canceled.
	KindCanceled Kind = "canceled"
	// KindTaskFailed is a job with a task that ran and failed.
	KindTaskFailed Kind = "taskFailed"
	// KindLost is a job with a task that started and whose answer is lost, or
	// that may have started.
	KindLost Kind = "lost"
	// KindNotFound is a job that nobody knows.
	KindNotFound Kind = "notFound"
)
