package waking

import "github.com/parsleylug/parsleylug/domain"

// prewarmEntry is one model in a prewarmQueue.
type prewarmEntry struct {
	model   domain.ModelName
	history *history
}

// prewarmQueue is a heap of models by the time of their next pre-warming decision.
type prewarmQueue []prewarmEntry

func (p prewarmQueue) Len() int { return len(p) }

func (p prewarmQueue) Less(i, j int) bool {
	if p[i].history.prewarmCheckAt != p[j].history.prewarmCheckAt {
		return p[i].history.prewarmCheckAt < p[j].history.prewarmCheckAt
	}
	return p[i].model < p[j].model
}

func (p prewarmQueue) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].history.heapIndex, p[j].history.heapIndex = int32(i+1), int32(j+1)
}

// Push implements heap.Interface.
func (p *prewarmQueue) Push(x any) {
	e := x.(prewarmEntry)
	*p = append(*p, e)
	e.history.heapIndex = int32(len(*p))
}

// Pop implements heap.Interface.
func (p *prewarmQueue) Pop() any {
	last := len(*p) - 1
	e := (*p)[last]
	(*p)[last] = prewarmEntry{}
	*p = (*p)[:last]
	e.history.heapIndex = 0
	return e
}
