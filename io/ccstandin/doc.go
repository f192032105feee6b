// Package ccstandin holds small stand-ins for what the platform brings: the
// key-value store and the targets. They serve tests, the demo and trials by hand,
// and have switches for faults.
//
// # Usage
//
//	store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 1})
//	if err := store.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil { ... }
//	defer store.Close()
//	store.SetFaults(ccstandin.StoreFaults{Outage: true})
//	client := ccstore.NewClient(ccstore.ClientConfig{Addr: store.Addr()})
package ccstandin
