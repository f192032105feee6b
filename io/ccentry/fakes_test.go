package ccentry_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccentry"
	"camphorcroft/io/ccrpc"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// fixedSettings are settings that never change.
type fixedSettings struct {
	effective *ccsettings.Effective
}

func (s fixedSettings) Watch(ctx context.Context, take func(*ccsettings.Effective)) error {
	take(s.effective)
	<-ctx.Done()
	return nil
}

func oneService() *ccsettings.Effective {
	return &ccsettings.Effective{
		Version:  1,
		Services: map[string]ccsettings.Service{"s": ccsettings.DefaultService()},
		Domains:  map[string]ccsettings.Domain{"north": ccsettings.DefaultDomain()},
		Teams:    map[string]ccsettings.Team{},
		Fleet:    ccsettings.DefaultFleet(),
	}
}

// cellStore returns a store that holds one cell record.
func cellStore(tb testing.TB, record []byte) *ccstandin.Store {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	if _, err := store.Swap(context.Background(), "cells/0", 0, record, ccstore.NoLease); err != nil {
		tb.Fatal(err)
	}
	return store
}

// instantAgent answers every task at once.
type instantAgent struct {
	ref   ccnode.Ref
	slots int
}

func (a *instantAgent) Called(_ *ccrpc.Peer, _ string, _ json.RawMessage, reply func(any, error)) {
	reply(ccwire.HelloReply{Agent: a.ref, Domain: "north", Service: "s", Slots: a.slots}, nil)
}

func (a *instantAgent) Notified(peer *ccrpc.Peer, _ string, params json.RawMessage) {
	var dispatch ccwire.Dispatch
	if err := json.Unmarshal(params, &dispatch); err != nil {
		return
	}
	report := ccwire.Report{Agent: a.ref, Session: dispatch.Session, HandledSeq: dispatch.Seq, FreeSlots: a.slots, Version: 1}
	for _, part := range dispatch.Jobs {
		done := ccwire.ReportJob{ID: part.ID, Claim: part.Claim}
		for _, task := range part.Tasks {
			done.Tasks = append(done.Tasks, ccwire.TaskReport{
				Index: task.Index, Attempt: task.Attempt, Code: ccwire.CodeDone, Payload: task.Payload, RunMS: 1,
			})
		}
		report.Jobs = append(report.Jobs, done)
	}
	_ = peer.Notify(context.Background(), ccwire.MethodReport, &report)
}

func (a *instantAgent) Closed(*ccrpc.Peer) {}

// startInstantAgents listens for each agent and returns their cell's record.
func startInstantAgents(tb testing.TB, names []ccnode.ID, slots int) []byte {
	record := ccwire.CellRecord{}
	for _, name := range names {
		listener, err := net.Listen("tcp", anyPort.String())
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { _ = listener.Close() })
		agent := &instantAgent{ref: ccnode.Ref{ID: name, Incarnation: 1}, slots: slots}
		go ccrpc.Serve(listener, agent)
		record.Members = append(record.Members, ccwire.Member{
			Node: agent.ref, Addr: netip.MustParseAddrPort(listener.Addr().String()), Domain: "north", Service: "s", Slots: slots,
		})
	}
	data, err := json.Marshal(record)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func startEntry(tb testing.TB, store ccstore.Store) *ccentry.Entry {
	entry := ccentry.New(ccentry.Config{
		Node: ccnode.Ref{ID: "entry-1"}, Domain: "north", Listen: anyPort, HTTP: anyPort,
		Store: store, Settings: fixedSettings{oneService()}, Log: logr.Discard(), Seed: 1,
	})
	if err := entry.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(entry.Kill)
	return entry
}
