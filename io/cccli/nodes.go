package cccli

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/ccinventory"
	"camphorcroft/io/ccstore"
)

// inventoryTimeout bounds the calls to the store that find the nodes.
const inventoryTimeout = 5 * time.Second

// nodeFlags say which processes a command asks.
type nodeFlags struct {
	nodes *string
	store *string
}

func newNodeFlags(flags *ff.FlagSet) nodeFlags {
	return nodeFlags{
		nodes: flags.StringLong("nodes", "", "HTTP addresses of processes, as IP:PORT,IP:PORT, in place of the store's list"),
		store: flags.StringLong("store", defaultStore, "IP:PORT of the store, to find all processes"),
	}
}

// inventory lists the processes to ask.
func (f nodeFlags) inventory(ctx context.Context) (ccinventory.Inventory, error) {
	var inventory ccinventory.Inventory
	if *f.nodes == "" {
		found, err := readInventory(ctx, *f.store)
		if err == nil && len(found.Nodes) == 0 {
			err = errors.New("the store knows no process")
		}
		return found, err
	}
	addrs, err := parseAddrs("nodes", splitList(*f.nodes))
	if err != nil {
		return inventory, err
	}
	for _, addr := range addrs {
		inventory.Nodes = append(inventory.Nodes, ccinventory.Node{HTTP: addr})
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

func readInventory(ctx context.Context, text string) (ccinventory.Inventory, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return ccinventory.Inventory{}, &usageError{text: "--store takes IP:PORT, not " + text}
	}
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	client := ccstore.NewClient(ccstore.ClientConfig{Addr: addr, Timeout: inventoryTimeout})
	defer client.Close()
	return ccinventory.Read(ctx, client)
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
