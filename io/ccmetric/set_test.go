package ccmetric

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

func TestSet(t *testing.T) {
	set, other := NewSet("entry-1"), NewSet("entry-2")
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { set.Int("jobs").Add(1) })
	}
	wg.Wait()
	set.Map("refused").Add("quota", 2)
	set.Map("refused").Add("quota", 1)
	set.Func("depth", func() any { return 7 })
	other.Int("jobs").Add(1)

	recorder := httptest.NewRecorder()
	set.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var got struct {
		Process     string
		Jobs, Depth int
		Refused     struct{ Quota int }
		MemoryBytes int
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Process != "entry-1" || got.Jobs != 10 || got.Depth != 7 || got.Refused.Quota != 3 || got.MemoryBytes == 0 {
		t.Errorf("got %s", recorder.Body)
	}
}
