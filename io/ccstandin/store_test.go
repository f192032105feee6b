package ccstandin_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

// Both ways to the store must behave alike, so each test runs against both.
func onBoth(t *testing.T, run func(t *testing.T, standin *ccstandin.Store, store ccstore.Store)) {
	t.Helper()
	t.Run("in process", func(t *testing.T) {
		standin := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 1, Events: 4, Keys: 8})
		run(t, standin, standin)
	})
	t.Run("over HTTP", func(t *testing.T) {
		standin := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 1, Events: 4, Keys: 8})
		if err := standin.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		client := ccstore.NewClient(ccstore.ClientConfig{Addr: standin.Addr(), Timeout: time.Minute})
		t.Cleanup(func() { client.Close(); _ = standin.Close() })
		run(t, standin, client)
	})
}

func wantKind(t *testing.T, err error, want ccstore.Kind) {
	t.Helper()
	if got := ccstore.KindOf(err); got != want || (err == nil) != (want == "") {
		t.Fatalf("kind %q, want %q: %v", got, want, err)
	}
}

func mustSwap(t *testing.T, store ccstore.Store, key string, expected uint64, value string) uint64 {
	t.Helper()
	revision, err := store.Swap(t.Context(), key, expected, []byte(value), ccstore.NoLease)
	wantKind(t, err, "")
	return revision
}

func wantValue(t *testing.T, store ccstore.Store, key, want string) ccstore.Item {
	t.Helper()
	item, err := store.Get(t.Context(), key)
	wantKind(t, err, "")
	if string(item.Value) != want {
		t.Fatalf("%s holds %q, want %q", key, item.Value, want)
	}
	return item
}

func TestSwap(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		ctx := t.Context()
		first := mustSwap(t, store, "a/1?&é", 0, "one")
		_, err := store.Swap(ctx, "a/1?&é", 0, []byte("two"), ccstore.NoLease)
		wantKind(t, err, ccstore.KindConflict)
		wantValue(t, store, "a/1?&é", "one")
		second := mustSwap(t, store, "a/1?&é", first, "two")
		if second <= first {
			t.Fatalf("revision %d after %d", second, first)
		}
		wantKind(t, store.Delete(ctx, "a/1?&é", first), ccstore.KindConflict)
		wantKind(t, store.Delete(ctx, "a/1?&é", second), "")
		if item := wantValue(t, store, "a/1?&é", ""); item.Revision != 0 {
			t.Fatalf("a removed key has revision %d", item.Revision)
		}
		_, err = store.Swap(ctx, "", 0, nil, ccstore.NoLease)
		wantKind(t, err, ccstore.KindInvalid)
	})
}

func TestValueOfOneMegabyte(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		value := bytes.Repeat([]byte{0xff}, ccstore.MaxValueBytes)
		mustSwap(t, store, "big", 0, string(value))
		wantValue(t, store, "big", string(value))
		_, err := store.Swap(t.Context(), "bigger", 0, append(value, 1), ccstore.NoLease)
		wantKind(t, err, ccstore.KindInvalid)
	})
}

func TestKeyBound(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		for _, key := range strings.Split("abcdefgh", "") {
			mustSwap(t, store, key, 0, key)
		}
		_, err := store.Swap(t.Context(), "i", 0, nil, ccstore.NoLease)
		wantKind(t, err, ccstore.KindInvalid)
	})
}

func TestWatch(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		ctx := t.Context()
		mustSwap(t, store, "a/1", 0, "one")
		_, from, err := store.List(ctx, "a/")
		wantKind(t, err, "")

		type result struct {
			change ccstore.Change
			err    error
		}
		results := make(chan result, 1)
		go func() {
			change, err := store.Watch(ctx, "a/", from, time.Minute)
			results <- result{change, err}
		}()
		mustSwap(t, store, "b/1", 0, "other")
		mustSwap(t, store, "a/2", 0, "two")
		got := <-results
		wantKind(t, got.err, "")
		if items := got.change.Items; len(items) != 1 || items[0].Key != "a/2" || got.change.Reset {
			t.Fatalf("change %+v, want a/2", got.change)
		}

		none, err := store.Watch(ctx, "a/", got.change.Revision, 0)
		wantKind(t, err, "")
		if len(none.Items) != 0 || none.Revision != got.change.Revision {
			t.Fatalf("change %+v, want none", none)
		}
	})
}

func TestWatchResets(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		ctx := t.Context()
		var revision uint64
		for range 6 {
			revision = mustSwap(t, store, "a", revision, "value")
		}
		for name, after := range map[string]uint64{"too far behind": 1, "ahead of the store": revision + 1} {
			change, err := store.Watch(ctx, "a", after, time.Minute)
			wantKind(t, err, "")
			if !change.Reset || len(change.Items) != 1 || change.Revision != revision {
				t.Fatalf("%s: %+v, want a reset", name, change)
			}
		}
	})
}

func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := ccstandin.NewStore(ccstandin.StoreConfig{})
		lease, err := store.Grant(ctx, 3*time.Second)
		wantKind(t, err, "")
		revision, err := store.Swap(ctx, "live", 0, []byte("here"), lease)
		wantKind(t, err, "")

		time.Sleep(2 * time.Second)
		wantKind(t, store.Renew(ctx, lease), "")
		time.Sleep(2 * time.Second)
		wantValue(t, store, "live", "here")

		start := time.Now()
		change, err := store.Watch(ctx, "live", revision, time.Minute)
		wantKind(t, err, "")
		if len(change.Items) != 1 || change.Items[0].Revision != 0 || time.Since(start) != time.Second {
			t.Fatalf("after %s: %+v, want the key removed after 1s", time.Since(start), change)
		}
		wantKind(t, store.Renew(ctx, lease), ccstore.KindLeaseGone)
		_, err = store.Swap(ctx, "live", 0, nil, lease)
		wantKind(t, err, ccstore.KindLeaseGone)
	})
}

func TestRevokeRemovesKeys(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *ccstandin.Store, store ccstore.Store) {
		ctx := t.Context()
		lease, err := store.Grant(ctx, time.Minute)
		wantKind(t, err, "")
		_, err = store.Swap(ctx, "live", 0, []byte("here"), lease)
		wantKind(t, err, "")
		wantKind(t, store.Revoke(ctx, lease), "")
		wantValue(t, store, "live", "")
		wantKind(t, store.Revoke(ctx, lease), ccstore.KindLeaseGone)
	})
}

func TestFaults(t *testing.T) {
	set := func(t *testing.T, standin *ccstandin.Store, faults ccstandin.StoreFaults) {
		t.Helper()
		wantKind(t, standin.SetFaults(faults), "")
	}
	t.Run("lost answer", func(t *testing.T) {
		onBoth(t, func(t *testing.T, standin *ccstandin.Store, store ccstore.Store) {
			set(t, standin, ccstandin.StoreFaults{LoseShare: 1})
			_, err := store.Swap(t.Context(), "a", 0, []byte("one"), ccstore.NoLease)
			wantKind(t, err, ccstore.KindUnknown)
			wantValue(t, store, "a", "one")
		})
	})
	t.Run("failing calls", func(t *testing.T) {
		onBoth(t, func(t *testing.T, standin *ccstandin.Store, store ccstore.Store) {
			set(t, standin, ccstandin.StoreFaults{FailShare: 1})
			_, err := store.Swap(t.Context(), "a", 0, []byte("one"), ccstore.NoLease)
			wantKind(t, err, ccstore.KindUnavailable)
			set(t, standin, ccstandin.StoreFaults{})
			wantValue(t, store, "a", "")
		})
	})
	t.Run("rate cap", func(t *testing.T) {
		onBoth(t, func(t *testing.T, standin *ccstandin.Store, store ccstore.Store) {
			set(t, standin, ccstandin.StoreFaults{WritesPerSecond: 1e-6})
			mustSwap(t, store, "a", 0, "one")
			_, err := store.Swap(t.Context(), "b", 0, nil, ccstore.NoLease)
			wantKind(t, err, ccstore.KindUnavailable)
			wantValue(t, store, "a", "one")
		})
	})
	t.Run("outage ends waiting watches", func(t *testing.T) {
		onBoth(t, func(t *testing.T, standin *ccstandin.Store, store ccstore.Store) {
			errs := make(chan error, 1)
			go func() {
				_, err := store.Watch(context.WithoutCancel(t.Context()), "a", 0, time.Minute)
				errs <- err
			}()
			set(t, standin, ccstandin.StoreFaults{Outage: true})
			wantKind(t, <-errs, ccstore.KindUnavailable)
		})
	})
	t.Run("over HTTP", func(t *testing.T) {
		onBoth(t, func(t *testing.T, standin *ccstandin.Store, _ ccstore.Store) {
			if !standin.Addr().IsValid() {
				return
			}
			put := func(body string) int {
				req, _ := http.NewRequest(http.MethodPut, "http://"+standin.Addr().String()+"/faults", strings.NewReader(body))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			if status := put(`{"delay":"5ms","failShare":0.25}`); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			if got := standin.Faults(); got.FailShare != 0.25 || got.Delay.Std() != 5*time.Millisecond {
				t.Fatalf("faults %+v", got)
			}
			for _, bad := range []string{`{"delay":5}`, `{"failShare":2}`, `{"fail":1}`, `{} {}`, ``} {
				if status := put(bad); status != http.StatusBadRequest {
					t.Fatalf("%s: status %d", bad, status)
				}
			}
		})
	})
}

func TestCounts(t *testing.T) {
	onBoth(t, func(t *testing.T, standin *ccstandin.Store, store ccstore.Store) {
		mustSwap(t, store, "a", 0, "one")
		wantValue(t, store, "a", "one")
		_, err := store.Watch(t.Context(), "a", 1, 0)
		wantKind(t, err, "")
		want := ccstore.Counts{Get: 1, Swap: 1, Watch: 1}
		if got := standin.Counts(); got != want {
			t.Fatalf("counts %+v, want %+v", got, want)
		}
	})
}
