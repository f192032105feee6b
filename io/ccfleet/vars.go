package ccfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"camphorcroft/core/ccload"
	"camphorcroft/core/ccwire"
)

const varsTimeout = 2 * time.Second

// entryVars is the part of an entry's metrics that the fleet reads.
type entryVars struct {
	PeerRequests map[string]uint64 `json:"peerRequests"` // By method.
	Entry        struct {
		Version  uint64 `json:"version"`
		Dispatch struct {
			TasksSent  uint64 `json:"tasksSent"`
			Dispatches uint64 `json:"dispatches"`
			Reports    uint64 `json:"reports"`
			Revokes    uint64 `json:"revokes"`
			Probes     uint64 `json:"probesSent"`
		} `json:"dispatch"`
		Agents []struct {
			Up bool `json:"up"`
		} `json:"agents"`
	} `json:"entry"`
}

// connectedAgents is the number of agents that the entry is connected to.
func (v *entryVars) connectedAgents() int {
	up := 0
	for _, agent := range v.Entry.Agents {
		if agent.Up {
			up++
		}
	}
	return up
}

func (v *entryVars) messages() ccload.Messages {
	dispatch, peers := v.Entry.Dispatch, v.PeerRequests
	// A request counts with its reply; a release has none.
	const requestMessages = 2
	claims := requestMessages*(peers[ccwire.MethodClaim]+peers[ccwire.MethodAwait]) + peers[ccwire.MethodRelease]
	control := dispatch.Revokes + dispatch.Probes + peers[ccwire.MethodConsent] + peers[ccwire.MethodGather]
	return ccload.Messages{
		Dispatch: dispatch.Dispatches,
		Report:   dispatch.Reports,
		Claims:   claims,
		Control:  requestMessages * control,
		Sent:     dispatch.TasksSent,
	}
}

// ReadMessages sums up what the entries sent and got. An entry that doesn't
// answer counts nothing.
func ReadMessages(ctx context.Context, entries []netip.AddrPort) ccload.Messages {
	var total ccload.Messages
	for _, addr := range entries {
		if vars, err := readEntryVars(ctx, addr); err == nil {
			total = total.Plus(vars.messages())
		}
	}
	return total
}

func readEntryVars(ctx context.Context, addr netip.AddrPort) (*entryVars, error) {
	body, err := get(ctx, addr, "/debug/vars")
	if err != nil {
		return nil, err
	}
	vars := &entryVars{}
	if err := json.Unmarshal(body, vars); err != nil {
		return nil, newError("read metrics", KindProcess, err)
	}
	return vars, nil
}

func checkReady(ctx context.Context, addr netip.AddrPort) error {
	_, err := get(ctx, addr, "/readyz")
	return err
}

func get(ctx context.Context, addr netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, varsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, newError("get "+path, KindProcess, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, newError("get "+path, KindProcess, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %s", addr, response.Status)
	}
	if err != nil {
		return nil, newError("get "+path, KindProcess, err)
	}
	return body, nil
}
