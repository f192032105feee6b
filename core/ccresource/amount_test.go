package ccresource

import "testing"

func TestFits(t *testing.T) {
	free := Amount{CPU: 2, Memory: 2, Accelerators: 1}
	for _, c := range []struct {
		need Amount
		want bool
	}{{Amount{CPU: 2, Memory: 2, Accelerators: 1}, true}, {Amount{CPU: 3}, false}, {Amount{Memory: 3}, false}, {Amount{Accelerators: 2}, false}} {
		if got := c.need.Fits(free); got != c.want {
			t.Errorf("%+v fits in %+v: got %v", c.need, free, got)
		}
	}
	if got := free.Minus(Amount{CPU: 3}).Plus(Amount{CPU: 1}); got.CPU != 0 {
		t.Errorf("Minus and Plus: got %+v, want 0 CPU", got)
	}
}
