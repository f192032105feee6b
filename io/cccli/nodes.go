package cccli

import (
	"context"
	"net/netip"
	"strings"

	"camphorcroft/io/ccinventory"

	"github.com/peterbourgon/ff/v4"
)

// nodeFlags say which processes a command asks.
type nodeFlags struct {
	nodes *string
}

func newNodeFlags(flags *ff.FlagSet) nodeFlags {
	return nodeFlags{
		nodes: flags.StringLong("nodes", "", "HTTP addresses of processes, as IP:PORT,IP:PORT"),
	}
}

// inventory lists the processes to ask.
func (f nodeFlags) inventory(_ context.Context) (ccinventory.Inventory, error) {
	var inventory ccinventory.Inventory
	addrs, err := parseAddrs("nodes", splitList(*f.nodes))
	if err != nil {
		return inventory, err
	}
	for _, addr := range addrs {
		inventory.Nodes = append(inventory.Nodes, ccinventory.Node{HTTP: addr})
	}
	if len(inventory.Nodes) == 0 {
		return inventory, &usageError{text: "say which processes to ask: --nodes"}
	}
	return inventory, nil
}

// splitList splits a list at its commas. An empty text is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// addrsOf returns the HTTP addresses that are known.
func addrsOf(nodes []ccinventory.Node) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, node := range nodes {
		if node.HTTP.IsValid() {
			addrs = append(addrs, node.HTTP)
		}
	}
	return addrs
}
