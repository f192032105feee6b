package ccstore_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"camphorcroft/io/ccstore"
)

func requireKind(t *testing.T, err error, want ccstore.Kind) {
	t.Helper()
	if got := ccstore.KindOf(err); got != want || (err == nil) != (want == "") {
		t.Fatalf("got kind %q, want %q: %v", got, want, err)
	}
}

func newTestClient(t testing.TB, handler http.HandlerFunc) *ccstore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	return ccstore.NewClient(ccstore.ClientConfig{Addr: addr, Timeout: time.Minute, MaxResponseBytes: 1 << 10})
}

// write makes one Swap call and returns its error.
func write(ctx context.Context, client *ccstore.Client) error {
	_, err := client.Swap(ctx, "a", 0, []byte("value"), ccstore.NoLease)
	return err
}

// read makes one Get call and returns its error.
func read(ctx context.Context, client *ccstore.Client) error {
	_, err := client.Get(ctx, "a")
	return err
}

func TestErrorKinds(t *testing.T) {
	tests := []struct {
		name        string
		handler     http.HandlerFunc
		read, write ccstore.Kind
	}{
		{
			name:    "connection closed",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			read:    ccstore.KindUnavailable, write: ccstore.KindUnknown,
		},
		{
			name:    "status without a kind",
			handler: respondWith(http.StatusBadGateway, "bad gateway"),
			read:    ccstore.KindUnavailable, write: ccstore.KindUnknown,
		},
		{
			name:    "unknown kind",
			handler: respondWith(http.StatusBadGateway, `{"kind":"odd"}`),
			read:    ccstore.KindUnavailable, write: ccstore.KindUnknown,
		},
		{
			name:    "refused",
			handler: respondWith(http.StatusServiceUnavailable, `{"kind":"unavailable","reason":"out"}`),
			read:    ccstore.KindUnavailable, write: ccstore.KindUnavailable,
		},
		{
			name:    "conflict",
			handler: respondWith(http.StatusConflict, `{"kind":"conflict","reason":"raced"}`),
			read:    ccstore.KindConflict, write: ccstore.KindConflict,
		},
		{
			name:    "undecodable success response",
			handler: respondWith(http.StatusOK, `{"revision":`),
			read:    ccstore.KindUnavailable, write: ccstore.KindUnknown,
		},
		{
			name:    "response too large",
			handler: respondWith(http.StatusOK, string(make([]byte, 2<<10))),
			read:    ccstore.KindUnavailable, write: ccstore.KindUnknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, test.handler)
			requireKind(t, read(t.Context(), client), test.read)
			requireKind(t, write(t.Context(), client), test.write)
		})
	}
}

func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	client := ccstore.NewClient(ccstore.ClientConfig{Addr: addr, Timeout: time.Minute})
	requireKind(t, write(t.Context(), client), ccstore.KindUnavailable)
	if got, want := client.Counts(), (ccstore.Counts{Swap: 1, Failed: 1}); got != want {
		t.Fatalf("got counts %+v, want %+v", got, want)
	}
}

func TestCanceledWhileWaiting(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after reading the body.
		cancel()
		<-r.Context().Done()
	})
	requireKind(t, write(ctx, client), ccstore.KindUnknown)
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}
