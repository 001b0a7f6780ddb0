package waking

import "github.com/parsleylug/parsleylug/domain"

// planned is one model in the plan.
type planned struct {
	m domain.ModelName
	h *history
}

// plan is a heap of models by the time at which they are looked at.
type plan []planned

func (p plan) Len() int { return len(p) }

func (p plan) Less(i, j int) bool {
	if p[i].h.due != p[j].h.due {
		return p[i].h.due < p[j].h.due
	}
	return p[i].m < p[j].m
}

func (p plan) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].h.heap, p[j].h.heap = int32(i+1), int32(j+1)
}

// Push implements heap.Interface.
func (p *plan) Push(x any) {
	e := x.(planned)
	*p = append(*p, e)
	e.h.heap = int32(len(*p))
}

// Pop implements heap.Interface.
func (p *plan) Pop() any {
	last := len(*p) - 1
	e := (*p)[last]
	(*p)[last] = planned{}
	*p = (*p)[:last]
	e.h.heap = 0
	return e
}
