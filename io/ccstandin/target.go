package ccstandin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
)

const (
	// defaultRun is how long a payload that names no time runs, at speed 1.
	defaultRun = 50 * time.Millisecond
	// maxTargetBody bounds a request's body.
	maxTargetBody = 1 << 20
	// maxStarts bounds the log of starts; the oldest go first.
	maxStarts = 1 << 20
	// targetHeaderTimeout bounds the reading of a request's head.
	targetHeaderTimeout = 5 * time.Second
)

// TargetConfig says where a target listens and how fast it is.
type TargetConfig struct {
	Listen netip.AddrPort // Port 0 takes any.
	Speed  float64        // Run times are divided by it. Zero is 1.
	Slots  int            // Requests at once beyond which Overruns counts. Zero counts none.
}

// TargetFaults are the switches of a target.
type TargetFaults struct {
	Speed   float64 `json:"speed"`   // Run times are divided by it.
	Failing bool    `json:"failing"` // Answer 500 at once.
	Pausing bool    `json:"pausing"` // Hold all answers until switched off.
	Slots   int     `json:"slots"`   // Requests at once beyond which overruns are counted.
}

// TargetStart is one request that reached a target.
type TargetStart struct {
	Key string    `json:"key"` // The Idempotency-Key.
	At  time.Time `json:"at"`
}

// Target is an HTTP server that takes the place of a back end. Payloads of the
// form {"runMS":120,"echo":"x"} run that long and answer the echo; any other
// payload runs a fixed time and answers itself.
type Target struct {
	cfg    TargetConfig
	server *http.Server
	addr   netip.AddrPort
	done   sync.WaitGroup

	mu       sync.Mutex
	faults   TargetFaults
	resumed  chan struct{} // Closed when no pause is on.
	starts   []TargetStart
	seen     map[string]int
	doubles  int
	running  int
	overruns int
}

// NewTarget returns a target that has not started.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	resumed := make(chan struct{})
	close(resumed)
	return &Target{
		cfg: cfg, resumed: resumed, seen: make(map[string]int),
		faults: TargetFaults{Speed: cfg.Speed, Slots: cfg.Slots},
	}
}

// Start listens and serves. The context bounds the start alone.
func (t *Target) Start(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", t.cfg.Listen.String())
	if err != nil {
		return errors.Annotate(err, "listen as a target")
	}
	t.addr, err = netip.ParseAddrPort(socket.Addr().String())
	if err != nil {
		return errors.Trace(err)
	}
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST("/", t.postTask)
	router.GET("/starts", t.getStarts)
	router.GET("/faults", func(c *gin.Context) { c.JSON(http.StatusOK, t.Faults()) })
	router.PUT("/faults", t.putFaults)
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	t.server = &http.Server{Handler: router, ReadHeaderTimeout: targetHeaderTimeout}
	t.done.Go(func() { _ = t.server.Serve(socket) })
	return nil
}

// Stop closes the listener and every connection.
func (t *Target) Stop() {
	_ = t.server.Close()
	t.done.Wait()
}

// Addr returns the address that the target listens on.
func (t *Target) Addr() netip.AddrPort { return t.addr }

// Faults returns the switches as they are.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults sets all switches. A speed of zero leaves the speed as it is.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if faults.Speed <= 0 {
		faults.Speed = t.faults.Speed
	}
	switch {
	case faults.Pausing && !t.faults.Pausing:
		t.resumed = make(chan struct{})
	case !faults.Pausing && t.faults.Pausing:
		close(t.resumed)
	}
	t.faults = faults
}

// Starts returns every request that reached the target, in their order.
func (t *Target) Starts() []TargetStart {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.starts)
}

// Doubles returns how many requests came with an Idempotency-Key that had come
// before.
func (t *Target) Doubles() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doubles
}

// Overruns returns how many requests came while all slots were taken.
func (t *Target) Overruns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overruns
}
