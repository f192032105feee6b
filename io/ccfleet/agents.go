package ccfleet

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccagent"
	"camphorcroft/io/ccstandin"
)

// agentSlot is the place of one agent with its target.
type agentSlot struct {
	number int
	domain string
	speed  float64
	target *ccstandin.Target
	listen netip.AddrPort
	http   netip.AddrPort
	agent  *ccagent.Agent // Nil while none runs.
}

func agentID(number int) ccnode.ID {
	return ccnode.ID(fmt.Sprintf("agent-%d", number+1))
}

// newAgentSlot starts the target of an agent.
func (f *Fleet) newAgentSlot(ctx context.Context, number int) (*agentSlot, error) {
	planned := f.cfg.Profile.Targets[number]
	target := ccstandin.NewTarget(ccstandin.TargetConfig{Listen: loopback, Speed: planned.Speed, Slots: planned.Slots})
	if err := target.Start(ctx); err != nil {
		return nil, newError("start target", KindProcess, err)
	}
	return &agentSlot{
		number: number, domain: planned.Domain, speed: planned.Speed, target: target, listen: loopback, http: loopback,
	}, nil
}

// StartAgent starts an agent that does not run, with an empty memory, at its
// earlier address.
func (f *Fleet) StartAgent(ctx context.Context, number int) error {
	slot, err := f.agentSlot(number)
	if err != nil {
		return err
	}
	ref := ccnode.Ref{ID: agentID(number), Incarnation: ccnode.NewIncarnation(time.Now())}
	agent := ccagent.New(ccagent.Config{
		Node:    ref,
		Domain:  slot.domain,
		Rack:    fmt.Sprintf("rack-%d", number/rackSize+1),
		Service: f.cfg.Profile.Service,
		Slots:   f.cfg.Profile.Targets[number].Slots,
		Listen:  slot.listen,
		HTTP:    slot.http,
		Target:  slot.target.Addr(),
		Store:   f.store,
		Log:     f.cfg.Log,
		Ring:    f.newRing(ccevent.RingConfig{Node: ref, Domain: slot.domain}),
	})
	if err := agent.Start(ctx); err != nil {
		return newError("start agent", KindProcess, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	slot.agent, slot.listen, slot.http = agent, agent.Addr(), agent.HTTPAddr()
	return nil
}

// StopAgent stops an agent gracefully.
func (f *Fleet) StopAgent(ctx context.Context, number int) error {
	agent, err := f.takeAgent(number)
	if err != nil || agent == nil {
		return err
	}
	if err := agent.Stop(ctx); err != nil {
		return newError("stop agent", KindProcess, err)
	}
	return nil
}

// KillAgent ends an agent as a crash would. Its target goes on.
func (f *Fleet) KillAgent(number int) error {
	agent, err := f.takeAgent(number)
	if err != nil || agent == nil {
		return err
	}
	agent.Kill()
	return nil
}

// StallAgent keeps an agent's control from running for a time, as a pause of its
// process would. An agent that doesn't run is left alone.
func (f *Fleet) StallAgent(number int, d time.Duration) error {
	slot, err := f.agentSlot(number)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if slot.agent != nil {
		slot.agent.Stall(d)
	}
	return nil
}

// takeAgent takes an agent out of its place. It returns nil when none runs.
func (f *Fleet) takeAgent(number int) (*ccagent.Agent, error) {
	slot, err := f.agentSlot(number)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	agent := slot.agent
	slot.agent = nil
	return agent, nil
}

// changeTarget changes the switches of a target.
func (f *Fleet) changeTarget(number int, change func(slot *agentSlot, faults *ccstandin.TargetFaults)) error {
	slot, err := f.agentSlot(number)
	if err != nil {
		return err
	}
	faults := slot.target.Faults()
	change(slot, &faults)
	slot.target.SetFaults(faults)
	return nil
}

func (f *Fleet) agentSlot(number int) (*agentSlot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slotAt("agent", f.agents, number)
}

// slotAt returns the place of that number. The error is an *Error of KindNumber.
func slotAt[S any](role string, slots []*S, number int) (*S, error) {
	if number < 0 || number >= len(slots) {
		return nil, newError(role, KindNumber, fmt.Errorf("there is no %s %d", role, number))
	}
	return slots[number], nil
}
