package ccstore

// Call names one method of the store.
type Call string

// The calls of the store.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallSwap   Call = "swap"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
)

// Writes tells whether the call may change the store, so that a lost answer
// leaves its effect unknown.
func (c Call) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	default:
		return true
	}
}
