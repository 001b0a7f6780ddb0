package dispatch

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// join passes the events of successive streams through an eventOrder, as a session does. A
// stream breaks at the first error. It returns the events that the caller gets and whether
// the last stream proves that they are all.
func join(order eventOrder, streams ...[]EventID) (got []EventID, isComplete bool) {
	for _, stream := range streams {
		isComplete = joinOne(&order, stream, &got) == nil
	}
	return got, isComplete
}

func joinOne(order *eventOrder, stream []EventID, got *[]EventID) error {
	position := order.start(len(*got) > 0)
	for _, id := range stream {
		isNew, err := order.accept(&position, id)
		if err != nil {
			return err
		}
		if isNew {
			*got = append(*got, id)
			order.advance(id)
		}
	}
	return order.end(position)
}

func TestEventOrder(t *testing.T) {
	for name, c := range map[string]struct {
		order      eventOrder
		streams    [][]EventID
		want       []EventID
		isComplete bool
	}{
		"one stream":                          {streams: [][]EventID{{1, 2}}, want: []EventID{1, 2}, isComplete: true},
		"empty stream":                        {streams: [][]EventID{{}}, isComplete: true},
		"empty stream after the last":         {order: eventOrder{last: 2}, streams: [][]EventID{{}}, isComplete: true},
		"events without IDs":                  {streams: [][]EventID{{0, 0}}, want: []EventID{0, 0}, isComplete: true},
		"resumed":                             {streams: [][]EventID{{1, 2}, {3}}, want: []EventID{1, 2, 3}, isComplete: true},
		"resumed from the start":              {streams: [][]EventID{{1, 2}, {1, 2, 3}}, want: []EventID{1, 2, 3}, isComplete: true},
		"resumed after the last":              {streams: [][]EventID{{1, 2}, {1, 2}}, want: []EventID{1, 2}, isComplete: true},
		"resumed without events":              {streams: [][]EventID{{1, 2}, {}}, want: []EventID{1, 2}},
		"resumed with a shorter stream":       {streams: [][]EventID{{1, 2}, {1}}, want: []EventID{1, 2}},
		"resumed with a gap":                  {streams: [][]EventID{{1, 2}, {4}}, want: []EventID{1, 2}},
		"resumed with a later gap":            {streams: [][]EventID{{1, 2}, {3, 5}}, want: []EventID{1, 2, 3}},
		"resumed without IDs":                 {streams: [][]EventID{{1, 2}, {0}}, want: []EventID{1, 2}},
		"resumed after event without ID":      {streams: [][]EventID{{0}, {0, 1}}, want: []EventID{0}},
		"gaps in every stream":                {streams: [][]EventID{{1, 3}, {6, 7}}, want: []EventID{1, 3, 6, 7}, isComplete: true},
		"resumed by the caller":               {order: eventOrder{last: 2}, streams: [][]EventID{{3, 4}}, want: []EventID{3, 4}, isComplete: true},
		"resumed by the caller with gap":      {order: eventOrder{last: 2}, streams: [][]EventID{{4}}},
		"resumed by the caller, shorter":      {order: eventOrder{last: 2}, streams: [][]EventID{{1}}},
		"steps of three, after the first":     {order: eventOrder{step: 3}, streams: [][]EventID{{3}, {6, 9}}, want: []EventID{3, 6, 9}, isComplete: true},
		"steps of three, by the caller":       {order: eventOrder{last: 9, step: 3}, streams: [][]EventID{{12, 15}}, want: []EventID{12, 15}, isComplete: true},
		"steps of three with a gap":           {order: eventOrder{step: 3}, streams: [][]EventID{{3}, {9}}, want: []EventID{3}},
		"steps of three with a gap, later":    {order: eventOrder{step: 3}, streams: [][]EventID{{3}, {6, 12}}, want: []EventID{3, 6}},
		"steps of three, a gap by the caller": {order: eventOrder{last: 9, step: 3}, streams: [][]EventID{{15}}},
		"resumed by the caller and again":     {order: eventOrder{last: 2}, streams: [][]EventID{{3}, {}}, want: []EventID{3}},
	} {
		got, isComplete := join(c.order, c.streams...)
		if want := c.want; !slices.Equal(got, want) || isComplete != c.isComplete {
			t.Errorf("%s: got events %v, complete %v, want %v, complete %v", name, got, isComplete, want, c.isComplete)
		}
	}
}

func TestStepOfEventsIsLearnedFromWholeStreams(t *testing.T) {
	for _, tt := range []struct {
		name  string
		order eventOrder
		ids   []EventID
		want  EventID
	}{
		{"ones", eventOrder{}, []EventID{1, 2, 3}, 1},
		{"threes", eventOrder{}, []EventID{3, 6, 9, 12}, 3},
		{"from another beginning", eventOrder{}, []EventID{5, 8, 11}, 3},
		{"too short", eventOrder{}, []EventID{3, 6}, 0},
		{"one left out", eventOrder{}, []EventID{1, 2, 4, 5}, 0},
		{"repeated", eventOrder{}, []EventID{3, 3, 3}, 0},
		{"resumed", eventOrder{last: 3}, []EventID{4, 5, 6}, 0},
		{"without IDs", eventOrder{}, []EventID{0, 0, 0}, 0},
	} {
		position := tt.order.start(false)
		for _, id := range tt.ids {
			_, _ = tt.order.accept(&position, id)
			tt.order.advance(id)
		}
		var steps eventSteps
		steps.learn("s", position)
		if got := steps.of("s"); got != tt.want {
			t.Errorf("%s: got a step of %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Parts of one numbered stream, in any order and with repeats, give a prefix of it, and the
// end counts as complete only if the caller has all that the last part has.
func TestEventOrderJoinsPartsToAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams [][]EventID
		for range rapid.IntRange(1, 5).Draw(t, "streams") {
			first := rapid.IntRange(1, 6).Draw(t, "first")
			var stream []EventID
			for id := first; id < first+rapid.IntRange(0, 6).Draw(t, "length"); id++ {
				stream = append(stream, EventID(id))
			}
			streams = append(streams, stream)
		}
		// The first stream starts at the start.
		streams[0] = append([]EventID{1}, streams[0]...)
		if len(streams[0]) > 1 && streams[0][1] != 2 {
			streams[0] = streams[0][:1]
		}
		got, isComplete := join(eventOrder{}, streams...)
		for i, id := range got {
			if want := EventID(i + 1); id != want {
				t.Fatalf("streams %v: got %v as event %d", streams, id, want)
			}
		}
		last := streams[len(streams)-1]
		if isComplete && (len(last) == 0 || last[len(last)-1] != got[len(got)-1]) {
			t.Fatalf("streams %v: events %v count as complete", streams, got)
		}
	})
}
