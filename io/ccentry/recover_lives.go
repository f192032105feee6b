package ccentry

import (
	"context"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccwire"
)

// noteCell keeps a cell's record for recoveries.
func (p *presence) noteCell(now time.Time, record *ccwire.CellRecord) {
	p.cells[record.Cell] = record
	for _, departure := range record.Departed {
		p.requester.AgentEnded(now, departure.Node)
	}
}

// lives lists the lives of all agents. It is false while the newest list was
// asked for before since; a newer one is then on its way.
func (p *presence) lives(since time.Time) ([]ccclaim.AgentIncarnation, bool) {
	if !p.cellsListed.After(since) {
		p.listCells()
		return nil, false
	}
	var lives []ccclaim.AgentIncarnation
	for _, record := range p.cells {
		for i := range record.Members {
			member := &record.Members[i]
			lives = append(lives, ccclaim.AgentIncarnation{Ref: member.Node, Start: time.UnixMilli(member.StartedAt)})
		}
		for _, departure := range record.Departed {
			lives = append(lives, ccclaim.AgentIncarnation{Ref: departure.Node, End: time.UnixMilli(departure.At)})
		}
	}
	return lives, true
}

// listCells reads all cells' records, unless that is under way.
func (p *presence) listCells() {
	if p.listing {
		return
	}
	p.listing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
		defer cancel()
		sent := time.Now()
		items, _, err := p.entry.cfg.Store.List(ctx, cellPrefix)
		records := make([]*ccwire.CellRecord, 0, len(items))
		for _, item := range items {
			record, readErr := readCell(item)
			if readErr != nil {
				p.entry.malformed.Skip(cellReader, item.Key, readErr)
				if isCellKey(item.Key) {
					// Agents of this cell may have claims that only they know of.
					err = readErr
				}
				continue
			}
			records = append(records, record)
		}
		p.entry.do(func(now time.Time) {
			p.listing = false
			if err != nil {
				return
			}
			for _, record := range records {
				p.entry.takeCell(now, record)
			}
			p.cellsListed = sent
		})
	}()
}
