package ccstore

// Paths of the HTTP interface. Keys and prefixes are query parameters, so that
// a key may hold any character.
const (
	PathKey   = "/v1/key"
	PathKeys  = "/v1/keys"
	PathWatch = "/v1/watch"
	PathLease = "/v1/lease"
)

// Query parameters of the HTTP interface.
const (
	ParamKey      = "key"
	ParamPrefix   = "prefix"
	ParamExpected = "expected"
	ParamRevision = "revision"
	ParamWait     = "wait"
	ParamLease    = "lease"
)
