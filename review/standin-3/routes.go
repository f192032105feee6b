package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["routes"] = caseOf{playRoutes, 1500 * time.Millisecond} }

const (
	routesApply = 4 * time.Second // config_apply_ms of the site
	routesMore  = 1400            // the largest dose of big_config there
	// routesIntoWatch is how long the watches of the entries have waited when the change comes.
	routesIntoWatch = 350 * time.Millisecond
	routesWatch     = 20 * time.Second
	routesLink      = 2.0 // Mbit/s, of the fronts of its small twin.
)

// playRoutes adds many routes in one configuration and asks for one of them. The entries reach the
// store over links of a few megabits a second; LINK sets another speed. Without trouble only ten routes are added.
func playRoutes(ctx context.Context, s *system, trouble bool) ([]string, error) {
	ips := []string{entryIP, "127.0.30.2"}
	megabits := routesLink
	if v := os.Getenv("LINK"); v != "" {
		if _, err := fmt.Sscan(v, &megabits); err != nil {
			return nil, err
		}
	}
	for _, ip := range ips {
		addr, err := newLink(s.storeAddr, megabits)
		if err != nil {
			return nil, err
		}
		s.storeOf[ip] = addr
		if _, err := s.startEntry(ip); err != nil {
			return nil, err
		}
	}
	for n := range 2 {
		_, w, err := s.startAgent(n, entryIP)
		if err != nil {
			return nil, err
		}
		if err := w.boot("a", "r1-1"); err != nil {
			return nil, err
		}
	}
	for _, ip := range ips {
		if err := s.ready(ip, 15*time.Second); err != nil {
			return nil, err
		}
		if err := s.served(ctx, ip, "a", 15*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	more := 10
	if trouble {
		more = routesMore
	}
	// The change comes in the later two thirds of the entries' watches, which last a second.
	for end := time.Now().Add(20 * time.Second); !s.store.watched(len(ips), routesIntoWatch); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the entries' watches don't meet")
		}
	}
	s.config(14, 1500*time.Millisecond, more)
	acked := time.Now()
	s.rec.add("version 14 with %d routes more is acked", more)
	var broken []string
	served := map[string]int{}
	clients := map[string]*http.Client{}
	for _, ip := range ips {
		clients[ip] = client()
	}
	for time.Since(acked) < routesWatch {
		for _, ip := range ips {
			sent := time.Now()
			a := s.call(ctx, clients[ip], http.MethodGet, ip, otherPrefix(more-1), nil, time.Second)
			if a.status == http.StatusOK {
				served[ip]++
			}
			if late := sent.Sub(acked); a.status == http.StatusNotFound && late > routesApply {
				broken = append(broken, fmt.Sprintf("CONFIG: entry %s answers 404 for a route that was acked %d ms before", ip, late.Milliseconds()))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	if len(broken) == 0 && len(served) < len(ips) {
		return nil, errors.New("an entry has neither the new route nor an answer")
	}
	return broken, nil
}
