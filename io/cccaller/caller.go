// Package cccaller tells whether the caller of an HTTP request has closed its connection.
//
// The context of a request ends a moment after its handler has begun if the caller has left
// before: the server looks at the connection only once it has read the body. A process that
// stood still would act on the request in between.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: cccaller.ConnContext}
//	if cccaller.Left(request.Context()) {
//		return
//	}
package cccaller

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is meant for
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Left reports whether the context of a request has ended or its caller has closed the
// connection. It reads nothing and doesn't block.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// Other errors, such as EAGAIN, say nothing of the caller.
		left = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.ENOTCONN) || errors.Is(err, unix.ETIMEDOUT)
	})
	return left || err != nil
}
