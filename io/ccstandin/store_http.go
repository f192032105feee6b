package ccstandin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"camphorcroft/io/ccstore"
)

const (
	storeHeaderTimeout = 5 * time.Second
	storeReadTimeout   = 10 * time.Second
	// maxFaultBytes bounds the body that sets the switches.
	maxFaultBytes = 64 << 10
)

// Start serves the store over HTTP. Port zero picks a free one.
func (s *Store) Start(listen netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return &ccstore.Error{Op: "listen", Kind: ccstore.KindInvalid, Err: err}
	}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: storeHeaderTimeout,
		ReadTimeout:       storeReadTimeout,
	}
	s.mu.Lock()
	s.server = server
	s.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Addr returns where the store listens, once started.
func (s *Store) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Close stops serving and cuts what is under way. The content stays in memory.
func (s *Store) Close() error {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Close(); err != nil {
		return &ccstore.Error{Op: "close", Kind: ccstore.KindUnavailable, Err: err}
	}
	return nil
}

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET(ccstore.PathKey, s.serveGet)
	router.PUT(ccstore.PathKey, s.serveSwap)
	router.DELETE(ccstore.PathKey, s.serveDelete)
	router.GET(ccstore.PathKeys, s.serveList)
	router.GET(ccstore.PathWatch, s.serveWatch)
	router.POST(ccstore.PathLease, s.serveGrant)
	router.PUT(ccstore.PathLease, s.serveRenew)
	router.DELETE(ccstore.PathLease, s.serveRevoke)
	router.GET("/faults", func(c *gin.Context) { c.JSON(http.StatusOK, s.Faults()) })
	router.PUT("/faults", s.serveSetFaults)
	router.GET("/counts", func(c *gin.Context) { c.JSON(http.StatusOK, s.Counts()) })
	return router
}

func (s *Store) serveGet(c *gin.Context) {
	item, err := s.Get(c.Request.Context(), c.Query(ccstore.ParamKey))
	answer(c, item, err)
}

func (s *Store) serveList(c *gin.Context) {
	items, revision, err := s.List(c.Request.Context(), c.Query(ccstore.ParamPrefix))
	answer(c, ccstore.Change{Items: items, Revision: revision}, err)
}

func (s *Store) serveSwap(c *gin.Context) {
	expected, errExpected := uintQuery(c, ccstore.ParamExpected)
	lease, errLease := uintQuery(c, ccstore.ParamLease)
	value, errBody := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, ccstore.MaxValueBytes))
	if err := errors.Join(errExpected, errLease, errBody); err != nil {
		answer(c, nil, invalid("%v", err))
		return
	}
	revision, err := s.Swap(c.Request.Context(), c.Query(ccstore.ParamKey), expected, value, ccstore.LeaseID(lease))
	answer(c, struct {
		Revision uint64 `json:"revision"`
	}{revision}, err)
}

func (s *Store) serveDelete(c *gin.Context) {
	expected, err := uintQuery(c, ccstore.ParamExpected)
	if err == nil {
		err = s.Delete(c.Request.Context(), c.Query(ccstore.ParamKey), expected)
	}
	answer(c, struct{}{}, err)
}

func (s *Store) serveWatch(c *gin.Context) {
	revision, errRevision := uintQuery(c, ccstore.ParamRevision)
	wait, errWait := durationQuery(c, ccstore.ParamWait)
	if err := errors.Join(errRevision, errWait); err != nil {
		answer(c, nil, invalid("%v", err))
		return
	}
	change, err := s.Watch(c.Request.Context(), c.Query(ccstore.ParamPrefix), revision, wait)
	answer(c, change, err)
}

func (s *Store) serveGrant(c *gin.Context) {
	ttl, err := durationQuery(c, ccstore.ParamWait)
	var lease ccstore.LeaseID
	if err == nil {
		lease, err = s.Grant(c.Request.Context(), ttl)
	}
	answer(c, struct {
		Lease ccstore.LeaseID `json:"lease"`
	}{lease}, err)
}

func (s *Store) serveRenew(c *gin.Context)  { s.serveLease(c, s.Renew) }
func (s *Store) serveRevoke(c *gin.Context) { s.serveLease(c, s.Revoke) }

func (s *Store) serveLease(c *gin.Context, run func(context.Context, ccstore.LeaseID) error) {
	lease, err := uintQuery(c, ccstore.ParamLease)
	if err == nil {
		err = run(c.Request.Context(), ccstore.LeaseID(lease))
	}
	answer(c, struct{}{}, err)
}

func (s *Store) serveSetFaults(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxFaultBytes)
	var faults StoreFaults
	if err := decodeStrict(c.Request.Body, &faults); err != nil {
		answer(c, nil, invalid("%v", err))
		return
	}
	err := s.SetFaults(faults)
	answer(c, faults, err)
}

// answer writes the body, or the error in the store's one error shape. An answer
// that was chosen to be lost cuts the connection.
func answer(c *gin.Context, body any, err error) {
	kind := ccstore.KindOf(err)
	switch {
	case err == nil:
		c.JSON(http.StatusOK, body)
	case kind == ccstore.KindUnknown:
		panic(http.ErrAbortHandler)
	default:
		c.JSON(statusOf(kind), struct {
			Kind   ccstore.Kind `json:"kind"`
			Reason string       `json:"reason"`
		}{kind, err.Error()})
	}
}

func statusOf(kind ccstore.Kind) int {
	switch kind {
	case ccstore.KindConflict:
		return http.StatusConflict
	case ccstore.KindLeaseGone:
		return http.StatusGone
	case ccstore.KindUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func uintQuery(c *gin.Context, name string) (uint64, error) {
	n, err := strconv.ParseUint(c.DefaultQuery(name, "0"), 10, 64)
	if err != nil {
		return 0, invalid("%s is no number: %v", name, err)
	}
	return n, nil
}

func durationQuery(c *gin.Context, name string) (time.Duration, error) {
	d, err := time.ParseDuration(c.DefaultQuery(name, "0s"))
	if err != nil {
		return 0, invalid("%s is no duration: %v", name, err)
	}
	return d, nil
}
