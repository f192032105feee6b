// Package ccevent serves the events of one process over HTTP, and collects
// those of many.
//
// # Usage
//
//	router.GET("/events", gin.WrapH(ccevent.NewHandler(ring)))
//
//	collector := ccevent.NewCollector(ccevent.CollectorConfig{})
//	for _, reply := range collector.Collect(ctx, queries) {
//		...
//	}
package ccevent

import (
	"encoding/json"
	"net/http"
	"strconv"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

// Headers of the answer to /events. They describe the ring, whatever the query
// leaves out.
const (
	headerNode        = "Events-Node"
	headerIncarnation = "Events-Incarnation"
	headerOldest      = "Events-Oldest"
	headerNewest      = "Events-Newest"
)

// serveChunk is how many events are read at once.
const serveChunk = 256

// Handler serves a ring's events as a JSON list. The query's "after" asks for
// events with greater numbers; "job" leaves out the events of other jobs.
type Handler struct {
	ring *ccevent.Ring
}

// NewHandler returns a handler for the ring.
func NewHandler(ring *ccevent.Ring) *Handler { return &Handler{ring: ring} }

// ServeHTTP writes the list event by event, so that a full ring takes little
// memory.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := parseAfter(query.Get("after"))
	if err != nil {
		http.Error(w, "after is a number", http.StatusBadRequest)
		return
	}
	h.describe(w.Header())
	h.write(w, after, ccjob.ID(query.Get("job")))
}

func parseAfter(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (h *Handler) describe(header http.Header) {
	node := h.ring.Node()
	header.Set("Content-Type", "application/json; charset=utf-8")
	header.Set(headerNode, string(node.ID))
	header.Set(headerIncarnation, strconv.FormatUint(uint64(node.Incarnation), 10))
	header.Set(headerOldest, strconv.FormatUint(h.ring.Oldest(), 10))
	header.Set(headerNewest, strconv.FormatUint(h.ring.Newest(), 10))
}

func (h *Handler) write(w http.ResponseWriter, after uint64, job ccjob.ID) {
	separator := "["
	for {
		events := h.ring.Next(after, serveChunk)
		if len(events) == 0 {
			break
		}
		after = events[len(events)-1].Seq
		for i := range events {
			if job != "" && events[i].Job != "" && events[i].Job != job {
				continue
			}
			data, err := json.Marshal(&events[i])
			if err != nil {
				return
			}
			if _, err := w.Write(append([]byte(separator), data...)); err != nil {
				return // The client has gone.
			}
			separator = ",\n"
		}
	}
	if separator == "[" {
		_, _ = w.Write([]byte("["))
	}
	_, _ = w.Write([]byte("]\n"))
}
