package cclease

import (
	"testing"

	"camphorcroft/core/ccnode"
)

// Guards against calls whose token is lower than that of a start of the agent's earlier
// incarnation, after the clock was set back: a restarted worker accepts both.
func TestPriorToken(t *testing.T) {
	t.Run("a higher token of an earlier incarnation is exceeded", func(t *testing.T) {
		f := newFixture(t)
		f.manager.RaiseTokenAbove(5_000_000)
		if call := f.orderStart(entryA, "j1", 1000).Starts[0]; call.Token <= 5_000_000 {
			t.Errorf("token: got %d, want above 5000000", call.Token)
		}
	})
	t.Run("a lower one changes nothing", func(t *testing.T) {
		f := newFixture(t)
		f.manager.RaiseTokenAbove(0)
		if call := f.orderStart(entryA, "j1", 1000).Starts[0]; call.Token != 7 {
			t.Errorf("token: got %d, want 7", call.Token)
		}
	})
	t.Run("entries learn the token when a session opens and when it rises", func(t *testing.T) {
		f := newFixture(t)
		attach, _ := f.manager.AttachRequest(f.now, ccnode.Ref{ID: "agent"}, entryA, 100)
		if attach.Report.Token != 7 {
			t.Errorf("token in the request: got %d, want 7", attach.Report.Token)
		}
		f.manager.SessionOpened(f.now, entryA, attach.Session)
		f.take()
		call := unansweredStart(f)
		f.keepAlive(entryA)
		f.advance(maxReportInterval)
		reported := uint64(0)
		for _, r := range f.take().Reports {
			if r.To == entryA.ID {
				reported = max(reported, r.Report.Token)
			}
		}
		if reported <= call.Token {
			t.Errorf("reported token: got %d, want above %d", reported, call.Token)
		}
	})
}

// Guards against a report that no earlier run is active, on the grounds of a list that was
// requested under a lower token than that of a start that may still arrive.
func TestPriorRunsAreListedUnderTheRaisedToken(t *testing.T) {
	f := newFixture(t)
	low := PollCall{Worker: "w-1", Token: f.manager.token, Wait: pollWait, Sent: f.now}
	f.manager.RaiseTokenAbove(1000)
	ended := func() bool { return f.manager.newReport(f.now, nil, false).PriorRunsEnded }
	if ended() {
		t.Error("earlier runs count as ended before a list under the raised token")
	}
	f.completePoll(low, okPollResponse(nil, nil))
	if ended() {
		t.Error("earlier runs count as ended after a list under the lower token")
	}
	f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
	if !ended() {
		t.Error("earlier runs don't count as ended after a list under the raised token")
	}
}
