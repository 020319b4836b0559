package admitter_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/admitter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start   timekeeper.Time = 1_000_000
	service                 = identifier.ServiceName("reader")
	slots                   = 10
	ranks                   = 3
)

// newAdmitter returns an Admitter that knows that requests of all ranks take a slot for a
// second, and equally many of each are queued.
func newAdmitter() *admitter.Admitter {
	a := admitter.New()
	for rank := range ranks {
		for range 20 {
			a.Sent(start, service, rank, admitter.Server{Slots: slots})
			a.Began(start, service, rank)
			a.Ended(start, service, rank, true)
			a.ObserveSlot(service, rank, 1*timekeeper.Second)
			a.Sent(start, service, rank, admitter.Server{Slots: slots})
		}
	}
	return a
}

func request(rank int) admitter.Request {
	return admitter.Request{
		Service:   service,
		Rank:      rank,
		Target:    1 * timekeeper.Second,
		Patience:  4 * timekeeper.Second,
		Remaining: 12 * timekeeper.Second,
	}
}

// queues returns a supply of servers with the given numbers of requests.
func queues(requests ...int) admitter.Supply {
	supply := admitter.Supply{OwnRequests: 1}
	for _, n := range requests {
		supply.Servers = append(supply.Servers, admitter.Server{
			Slots:      slots,
			Requests:   n,
			FirstEvent: 20,
			Eligible:   true,
		})
	}
	return supply
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against refusals while servers have room.
func TestAdmitsToRoom(t *testing.T) {
	ineligible := queues(200, 200, 2, 2, 2, 2)
	for i := range ineligible.Servers {
		ineligible.Servers[i].Eligible = i < 2
	}
	unknown := queues(200, 200)
	unknown.Servers[1].Slots = 0
	tests := []struct {
		name   string
		supply admitter.Supply
	}{
		{
			name:   "a free slot",
			supply: queues(200, 9),
		},
		{
			name:   "most slots free at servers that can't be used now",
			supply: ineligible,
		},
		{
			name:   "unknown slots",
			supply: unknown,
		},
		{
			name:   "a short queue",
			supply: queues(13, 13),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newAdmitter()
			for rank := range ranks {
				require.False(t, a.Decide(start, newRand(), request(rank), test.supply).Refused())
			}
		})
	}
}

// Guards against refusals of urgent requests for the queue of less urgent ones.
func TestRefusesLeastUrgentFirst(t *testing.T) {
	a := newAdmitter()
	supply := queues(40, 40)
	require.False(t, a.Decide(start, newRand(), request(0), supply).Refused())
	require.Equal(t, messenger.ReasonNoRoomInTime, a.Decide(start, newRand(), request(2), supply).Reason)
}

// Guards against a less urgent request that is admitted while more urgent ones are refused.
func TestRefusesLessUrgentThanRefused(t *testing.T) {
	a := newAdmitter()
	require.True(t, a.Decide(start, newRand(), request(0), queues(400, 400)).Refused())
	lessUrgent := request(2)
	lessUrgent.Target, lessUrgent.Patience = timekeeper.Hour, timekeeper.Hour
	require.Equal(t, messenger.ReasonMoreUrgent, a.Decide(start.Add(1), newRand(), lessUrgent, queues(400, 400)).Reason)
	later := start.Add(2 * timekeeper.Second)
	require.False(t, a.Decide(later, newRand(), lessUrgent, queues(400, 400)).Refused())
}

// Guards against decisions by predictions that are known to be too long or too short.
func TestLearnsErrorsOfPredictions(t *testing.T) {
	const predicted = 1 * timekeeper.Second
	tests := []struct {
		name     string
		observed timekeeper.Duration
		requests int
		refused  bool
	}{
		{
			name:     "too long",
			observed: predicted / 4,
			requests: 60,
		},
		{
			name:     "too short",
			observed: 4 * predicted,
			requests: 24,
			refused:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newAdmitter()
			supply := queues(test.requests, test.requests)
			require.NotEqual(t, test.refused, newAdmitter().Decide(start, newRand(), request(1), supply).Refused())
			for range 50 {
				a.Observe(service, 1, predicted, test.observed, true)
			}
			require.Equal(t, test.refused, a.Decide(start, newRand(), request(1), supply).Reason == messenger.ReasonNoRoomInTime)
		})
	}
}

// Guards against refused bursts whose queue drains, and queues that keep all answers late.
func TestRefusesForStandingQueues(t *testing.T) {
	a := newAdmitter()
	supply := queues(24, 24)
	now := start
	for range 3 {
		require.False(t, a.Decide(now, newRand(), request(1), supply).Refused())
	}
	for range 30 {
		now = now.Add(100 * timekeeper.Millisecond)
		a.Decide(now, newRand(), request(1), supply)
	}
	require.Equal(t, messenger.ReasonStandingQueue, a.Decide(now, newRand(), request(1), supply).Reason)
	require.False(t, a.Decide(now, newRand(), request(1), queues(10, 10)).Refused())
}

// Guards against decisions that change with each report of loads.
func TestKeepsRefusing(t *testing.T) {
	for target := 500 * timekeeper.Millisecond; target < 5*timekeeper.Second; target += 100 {
		changes := 0
		refused := false
		a := newAdmitter()
		now := start
		for i := range 100 {
			now = now.Add(100 * timekeeper.Millisecond)
			r := request(1)
			r.Target = target
			d := a.Decide(now, newRand(), r, queues(25+i%2, 25+i%2))
			if d.Refused() != refused {
				refused = d.Refused()
				changes++
			}
		}
		require.LessOrEqual(t, changes, 1)
	}
}

// Guards against nodes that all fill the same room, which their reports show for some time.
func TestExpectsThatOthersSendAsMuch(t *testing.T) {
	predicted := func(sent int) timekeeper.Duration {
		a := newAdmitter()
		supply := queues(24, 24)
		supply.LoadAge = 500 * timekeeper.Millisecond
		supply.OwnRequests = 4
		a.Decide(start, newRand(), request(1), supply)
		now := start.Add(1 * timekeeper.Second)
		for range sent {
			a.Sent(now, service, 1, admitter.Server{Slots: slots})
		}
		return a.Decide(now, newRand(), request(1), supply).Predicted
	}
	require.Greater(t, predicted(2), 3*predicted(0)/2)
}

// Guards against crowds that return at once, and times longer than callers follow.
func TestRetryAfter(t *testing.T) {
	const remaining = 9 * timekeeper.Second
	tests := []struct {
		name       string
		room       admitter.Room
		low, high  timekeeper.Duration
		wantSpread timekeeper.Duration
	}{
		{
			name: "room soon",
			room: admitter.Room{
				From:  500,
				Until: 2000,
			},
			low:        500,
			high:       2000,
			wantSpread: 1000,
		},
		{
			name: "room later than callers wait",
			room: admitter.Room{
				From:  20_000,
				Until: 30_000,
			},
			low:        2250,
			high:       3000,
			wantSpread: 500,
		},
		{
			name: "room at once",
			low:  50,
			high: 50,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rng := newRand()
			least, most := timekeeper.Hour, timekeeper.Duration(0)
			for range 100 {
				d := admitter.RetryAfter(rng, test.room, remaining)
				least, most = min(least, d), max(most, d)
			}
			require.GreaterOrEqual(t, least, test.low)
			require.LessOrEqual(t, most, test.high)
			require.GreaterOrEqual(t, most-least, test.wantSpread)
		})
	}
}

// Guards against all refused callers that get the same time.
func TestPromisesRoomInTurn(t *testing.T) {
	a := newAdmitter()
	rng := newRand()
	now := start
	least, most := timekeeper.Hour, timekeeper.Duration(0)
	for range 60 {
		now = now.Add(100 * timekeeper.Millisecond)
		if d := a.Decide(now, rng, request(1), queues(24, 24)); d.Refused() {
			least, most = min(least, d.RetryAfter), max(most, d.RetryAfter)
		}
	}
	require.LessOrEqual(t, most, 4*timekeeper.Second)
	require.Greater(t, most-least, 1*timekeeper.Second)
}

// Guards against callers that return before servers which are ordered have started.
func TestRoomAfterLoss(t *testing.T) {
	const boot = 4 * timekeeper.Second
	a := admitter.New()
	room, due := a.RoomAfterLoss(start, service, boot)
	require.True(t, due)
	require.Equal(t, boot, room.From)
	room, due = a.RoomAfterLoss(start.Add(3*timekeeper.Second), service, boot)
	require.True(t, due)
	require.Equal(t, 1*timekeeper.Second, room.From)
	_, due = a.RoomAfterLoss(start.Add(5*timekeeper.Second), service, boot)
	require.False(t, due)
	a.SlotFound(start.Add(6*timekeeper.Second), request(0))
	room, _ = a.RoomAfterLoss(start.Add(7*timekeeper.Second), service, boot)
	require.Equal(t, boot, room.From)
}

// Guards against callers with little time left that keep all less urgent requests out.
func TestHurriedCallerBlocksNoOthers(t *testing.T) {
	a := newAdmitter()
	supply := queues(12, 12)
	hurried := request(0)
	hurried.Patience, hurried.Remaining = 5, 5
	require.Equal(t, messenger.ReasonNoRoomInTime, a.Decide(start, newRand(), hurried, supply).Reason)
	require.False(t, a.Decide(start.Add(1), newRand(), request(1), supply).Refused())
}

// Guards against free slots that do not count for requests without a target.
func TestAdmitsWithoutTargetToFreeSlots(t *testing.T) {
	a := newAdmitter()
	r := request(1)
	r.Target = 0
	require.False(t, a.Decide(start, newRand(), r, queues(9, 400)).Refused())
	require.False(t, a.Pressed(service))
}
