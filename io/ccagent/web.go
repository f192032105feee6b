package ccagent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	corelimit "camphorcroft/core/cclimit"
	ioevent "camphorcroft/io/ccevent"
)

const headerTimeout = 5 * time.Second

// startWeb serves health, metrics and events.
func (a *Agent) startWeb(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", a.cfg.HTTP.String())
	if err != nil {
		return errors.Annotate(err, "listen for HTTP")
	}
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", a.getReady)
	router.GET("/debug/vars", gin.WrapH(a.stats.set))
	router.GET("/events", gin.WrapH(ioevent.NewHandler(a.ring)))
	a.web = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	a.webAddr = addrOf(socket.Addr())
	limited := a.cfg.Gate.HTTP(socket, a.web, corelimit.ClassObservation, nil)
	a.goRun(func() { _ = a.web.Serve(limited) })
	return nil
}

// getReady answers 200 while the agent takes work.
func (a *Agent) getReady(c *gin.Context) {
	ready := make(chan bool, 1)
	a.post(func(time.Time) { ready <- !a.table.Closed() })
	select {
	case ok := <-ready:
		if ok {
			c.String(http.StatusOK, "ready\n")
			return
		}
	case <-a.ctx.Done():
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}
