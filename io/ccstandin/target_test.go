package ccstandin

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func startTarget(t *testing.T, cfg TargetConfig) *Target {
	t.Helper()
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	target := NewTarget(cfg)
	if err := target.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Stop)
	return target
}

func send(t *testing.T, method string, target *Target, path, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+target.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(answer)
}

func assertAnswer(t *testing.T, target *Target, key, payload, want string) {
	t.Helper()
	if status, got := send(t, http.MethodPost, target, "/", key, payload); status != http.StatusOK || got != want {
		t.Fatalf("%s answered %d %q, want %q", payload, status, got, want)
	}
}

func TestTarget(t *testing.T) {
	t.Run("answers payloads and logs starts", func(t *testing.T) {
		target := startTarget(t, TargetConfig{Speed: 1000})
		assertAnswer(t, target, "j/0", `{"runMS":120,"echo":"x"}`, "x")
		assertAnswer(t, target, "j/1", "plain", "plain")
		assertAnswer(t, target, "j/1", `{"other":1}`, `{"other":1}`)
		if starts := target.Starts(); len(starts) != 3 || starts[0].Key != "j/0" || target.Doubles() != 1 {
			t.Errorf("starts are %v with %d doubles", starts, target.Doubles())
		}
		if status, body := send(t, http.MethodGet, target, "/starts", "", ""); status != http.StatusOK || !strings.Contains(body, `"doubles":1`) {
			t.Errorf("GET /starts answered %d %s", status, body)
		}
	})
	t.Run("fails at once when told to", func(t *testing.T) {
		target := startTarget(t, TargetConfig{})
		if status, body := send(t, http.MethodPut, target, "/faults", "", `{"failing":true}`); status != http.StatusOK {
			t.Fatalf("PUT /faults answered %d %s", status, body)
		}
		if status, _ := send(t, http.MethodPost, target, "/", "j/0", `{"runMS":3600000}`); status != http.StatusInternalServerError {
			t.Errorf("answered %d", status)
		}
	})
	t.Run("refuses unknown switches", func(t *testing.T) {
		target := startTarget(t, TargetConfig{})
		if status, _ := send(t, http.MethodPut, target, "/faults", "", `{"failling":true}`); status != http.StatusBadRequest {
			t.Errorf("answered %d", status)
		}
	})
	t.Run("holds answers while it pauses and counts overruns", func(t *testing.T) {
		target := startTarget(t, TargetConfig{Speed: 1000, Slots: 1})
		target.SetFaults(TargetFaults{Pausing: true, Slots: 1})
		answered := make(chan struct{}, 2)
		for _, key := range []string{"j/0", "j/1"} {
			go func() {
				send(t, http.MethodPost, target, "/", key, "x")
				answered <- struct{}{}
			}()
		}
		for target.Overruns() == 0 {
			if len(answered) > 0 {
				t.Fatal("an answer came during the pause")
			}
			time.Sleep(time.Millisecond)
		}
		target.SetFaults(TargetFaults{})
		<-answered
		<-answered
	})
}
