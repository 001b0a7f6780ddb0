package platformlog

import "sync/atomic"

// pageSize is the number of records that one read requests. The zero pageSize is
// recordsPerRead. It is safe for concurrent use.
type pageSize struct {
	// shrunk is the size after a page that was too long; 0 for recordsPerRead.
	shrunk atomic.Int64
}

func (p *pageSize) get() int {
	if n := p.shrunk.Load(); n > 0 {
		return int(n)
	}
	return recordsPerRead
}

// halve halves the size, to one record at least.
func (p *pageSize) halve() { p.shrunk.Store(int64(max(1, p.get()/2))) }

// grow raises the size by one record, to recordsPerRead at most.
func (p *pageSize) grow() {
	if n := p.shrunk.Load(); n > 0 && n < recordsPerRead {
		p.shrunk.Store(n + 1)
	}
}
