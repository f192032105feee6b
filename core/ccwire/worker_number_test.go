package ccwire

import "testing"

// Guards against workers of different kinds that are taken for the same one.
func TestWorkerNumbersDiffer(t *testing.T) {
	seen := map[uint32]WorkerInfo{}
	for _, w := range []WorkerInfo{
		{}, {Domain: "ab"}, {Service: "ab"}, {Domain: "a", Service: "b"}, {Labels: []string{"ab"}}, {Labels: []string{"a", "b"}}, {Labels: []string{""}},
	} {
		if other, ok := seen[w.Number()]; ok || w.Number() == 0 {
			t.Errorf("%+v: got the number %d, as %+v", w, w.Number(), other)
		}
		seen[w.Number()] = w
	}
}
