package cclease

import (
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// refusedEntry accepts each session, and sends orders right behind the reply, as an entry does.
type refusedEntry struct{ sessions atomic.Uint64 }

func (e *refusedEntry) Received(conn *ccsession.Conn, kind ccwire.MessageKind, body []byte) {
	node := ccnode.Ref{ID: "entry-1", Incarnation: 1}
	switch kind {
	case ccwire.MessageIdentify:
		conn.Send(ccwire.MessageIdentifyReply, ccwire.IdentifyReply{Node: node, Session: e.sessions.Add(1)})
	case ccwire.MessageAttach:
		var attach ccwire.Attach
		if ccsession.Decode(body, &attach) == nil {
			conn.Send(ccwire.MessageAttachReply, ccwire.AttachReply{Node: node, Session: attach.Session})
			conn.Send(ccwire.MessageOrders, ccwire.Orders{Sequence: 1})
		}
	default:
	}
}

func (e *refusedEntry) Closed(*ccsession.Conn) {}

// suspendedAlways is a suspendDetector that reports a suspension before each event.
type suspendedAlways struct{}

func (suspendedAlways) Resumed() bool            { return true }
func (suspendedAlways) ResumedAt(time.Time) bool { return true }

// Guards against goroutines and connections' buffers that pile up: the reader of a session that
// the agent doesn't open after all must end with its connection.
func TestRefusedSessionsLeaveNoReader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	entry := &refusedEntry{}
	go ccsession.Serve(listener, entry)
	agent := New(Config{Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Domain: "north", Log: logr.Discard()})
	agent.suspend = suspendedAlways{}
	agent.spawn(agent.control)
	defer func() {
		agent.cancel()
		agent.wg.Wait()
	}()
	const sessions = 5
	addr := netip.MustParseAddrPort(listener.Addr().String())
	for range sessions {
		if agent.runSession(t.Context(), addr) {
			t.Fatal("a session from before a suspension was opened")
		}
	}
	time.Sleep(100 * time.Millisecond)
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	if readers := strings.Count(string(stacks), "(*session).handleOrders("); readers > 0 {
		t.Errorf("%d of %d readers wait for sessions that are closed", readers, sessions)
	}
}
