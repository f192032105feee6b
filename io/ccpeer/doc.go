// Package ccpeer keeps HTTP connections to a peer, and knows to which incarnation of the peer
// each of them leads.
//
// A peer may start again at the same address. A request on a new connection may reach an
// incarnation that the caller doesn't know yet, and if that one doesn't answer, the caller
// can't tell. A connection ends with the process at its other end, so a request on a
// connection on which an incarnation has answered reaches that one or none. This holds for
// connections to the peer itself, and not for those to a proxy that reuses its own.
//
// # Usage
//
//	pool := ccpeer.New(ccpeer.Config{Transport: transport, Addr: addr, Connections: 6, IdleTimeout: 30 * time.Second})
//	response, err := pool.Do(ccpeer.Call{Request: request, Incarnation: startTime, Identify: identify, MaxBytes: 1 << 20})
//	if ccpeer.NotSent(err) {
//		// No incarnation has received the request, and none will.
//	}
package ccpeer
