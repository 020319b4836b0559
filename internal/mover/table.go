package mover

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// maxFromSource and maxToDestination bound the moves at once between this node's streams'
	// servers. A server copies one run after the other; a stopped one waits for those ahead.
	maxFromSource    = 4
	maxToDestination = 4
	// maxMoves bounds the moves of a node.
	maxMoves = 256
	// maxPerStream bounds the moves of one stream.
	maxPerStream = 3
)

// Table holds the moves of one node that are not over.
type Table struct {
	moves map[identifier.ExchangeID]*Move
	from  map[identifier.VMID]int
	to    map[identifier.VMID]int
}

// NewTable returns a table without moves.
func NewTable() *Table {
	return &Table{
		moves: map[identifier.ExchangeID]*Move{},
		from:  map[identifier.VMID]int{},
		to:    map[identifier.VMID]int{},
	}
}

// Move returns the move of an exchange, if there is one.
func (t *Table) Move(id identifier.ExchangeID) (*Move, bool) {
	m, ok := t.moves[id]
	return m, ok
}

// Len returns the number of moves.
func (t *Table) Len() int { return len(t.moves) }

// All returns the moves, by exchange.
func (t *Table) All() []*Move {
	out := make([]*Move, 0, len(t.moves))
	for _, id := range slices.Sorted(maps.Keys(t.moves)) {
		out = append(out, t.moves[id])
	}
	return out
}

// MayLeave reports whether another stream may be moved away from a server. earlier is the number
// of moves that the stream has had.
func (t *Table) MayLeave(source identifier.VMID, earlier int) bool {
	return len(t.moves) < maxMoves && t.from[source] < maxFromSource && earlier < maxPerStream
}

// MayReceive reports whether another stream may be moved to a server.
func (t *Table) MayReceive(destination identifier.VMID) bool {
	return t.to[destination] < maxToDestination
}

// Begin adds a move.
func (t *Table) Begin(c Config) *Move {
	m := newMove(c)
	t.moves[c.Exchange] = m
	t.from[c.Source]++
	t.to[c.Destination]++
	return m
}

// End removes a move.
func (t *Table) End(m *Move) {
	delete(t.moves, m.config.Exchange)
	decrement(t.from, m.config.Source)
	decrement(t.to, m.config.Destination)
}

func decrement(counts map[identifier.VMID]int, server identifier.VMID) {
	counts[server]--
	if counts[server] <= 0 {
		delete(counts, server)
	}
}
