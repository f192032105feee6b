package cccli

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"camphorcroft/core/ccconfig"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccstore"
)

const (
	// ringEvents is how many events a server process keeps.
	ringEvents = 65_536
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// startTimeout bounds how long a process takes to open its sockets.
	startTimeout = 15 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 40 * time.Second
)

// configFile is the file that tells a server process who it is, as the process read it
// when it started.
type configFile struct {
	path string
	text string
	cfg  *ccconfig.Config
}

func readConfig(path string) (*configFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cfg, err := ccconfig.Parse(path, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &configFile{path: path, text: string(data), cfg: cfg}, nil
}

// runApp runs a server role until the context ends, which the signals that stop
// a process bring about, and then stops it gracefully. The role's options get
// the configuration, the log, the store and the event ring from here.
func runApp(ctx context.Context, streams Streams, file *configFile, role fx.Option) error {
	cfg := file.cfg
	log := cclog.New(cclog.Config{Out: streams.Out, Level: cfg.LogLevel, Budget: cfg.LogBudget})
	defer log.Close()
	if cfg.Platform != nil {
		// Its logs are collected from all hosts. The other roles name the node themselves.
		log.Logger = log.Logger.WithValues("node", string(cfg.Node))
	}
	reload := &reloader{file: file.path, log: log, last: file.text}
	app := fx.New(
		fx.Supply(cfg, log, reload),
		fx.Provide(
			func() ccnode.Ref { return ccnode.Ref{ID: cfg.Node, Incarnation: ccnode.NewIncarnation(time.Now())} },
			func() ccstore.Store {
				return ccstore.NewClient(ccstore.ClientConfig{Addr: cfg.Store, Timeout: storeTimeout})
			},
			newGate,
			func(self ccnode.Ref) *ccevent.Ring {
				return ccevent.NewRing(ccevent.RingConfig{Node: self, Size: ringEvents})
			},
		),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		role,
	)
	startCtx, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errors.Annotate(err, "start")
	}
	// The file is followed until the process has stopped.
	reloadCtx, endReload := context.WithCancel(context.WithoutCancel(ctx))
	var reloading sync.WaitGroup
	reloading.Go(func() { reload.run(reloadCtx) })
	defer reloading.Wait()
	defer endReload()
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	return errors.Annotate(app.Stop(stopCtx), "stop")
}
