package ccscale

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"camphorcroft/io/ccfleet"
)

// varsTimeout bounds the reading of one agent's metrics.
const varsTimeout = 5 * time.Second

// counters are one agent's control bytes so far.
type counters struct {
	In    float64 `json:"controlBytesIn"`
	Out   float64 `json:"controlBytesOut"`
	Leads int     `json:"cellLeads"`
}

// snapshot has the counters of all agents.
type snapshot map[netip.AddrPort]counters

func readTraffic(ctx context.Context, fleet *ccfleet.Fleet) (snapshot, error) {
	all := make(snapshot)
	for _, addr := range fleet.AgentAddrs() {
		one, err := readCounters(ctx, addr)
		if err != nil {
			return nil, errors.Annotatef(err, "metrics of agent at %s", addr)
		}
		all[addr] = one
	}
	return all, nil
}

func readCounters(ctx context.Context, addr netip.AddrPort) (counters, error) {
	ctx, cancel := context.WithTimeout(ctx, varsTimeout)
	defer cancel()
	var one counters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/debug/vars", nil)
	if err != nil {
		return one, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return one, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return one, errors.Trace(json.NewDecoder(response.Body).Decode(&one))
}

// since returns the mean traffic of members and of leads since an earlier
// snapshot.
func (s snapshot) since(before snapshot, seconds float64) (member, lead Traffic) {
	var members, leads float64
	for addr, now := range s {
		in, out := (now.In-before[addr].In)/seconds, (now.Out-before[addr].Out)/seconds
		if now.Leads > 0 {
			leads++
			lead.In, lead.Out = lead.In+in, lead.Out+out
		} else {
			members++
			member.In, member.Out = member.In+in, member.Out+out
		}
	}
	return member.over(members), lead.over(leads)
}

func (t Traffic) over(n float64) Traffic {
	if n == 0 {
		return Traffic{}
	}
	return Traffic{In: t.In / n, Out: t.Out / n}
}
