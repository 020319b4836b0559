package calibrator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start   timekeeper.Time = 1_000_000
	step                    = 50 * timekeeper.Millisecond
	service                 = "reader"
	// reportInterval and relayInterval are the times between a node's reports and between
	// a relay's sums, and transitTime that from the relay to a node.
	reportInterval = 500 * timekeeper.Millisecond
	relayInterval  = 250 * timekeeper.Millisecond
	transitTime    = 250 * timekeeper.Millisecond
	// answerRate is the number of answers a second of one server to one node that show the
	// server's rates.
	answerRate = 0.05
	// delayedPart is the part of answers that are delayed by work which the node did not
	// know of, and meanDelay, in milliseconds, their mean delay.
	delayedPart = 0.3
	meanDelay   = 150.0
)

// node is one node that predicts answers by shared factors and, for comparison, alone.
type node struct {
	id         identifier.VMID
	calibrator *calibrator.Calibrator
	factors    *calibrator.Factors
	shared     *estimator.Estimator
	alone      *estimator.Estimator
}

func newNode(i int) *node {
	c := calibrator.New()
	return &node{
		id:         identifier.VMID(fmt.Sprintf("node-%d", i)),
		calibrator: c,
		factors:    c.Service(service),
		shared:     estimator.NewWithFactors(c.Service(service)),
		alone:      estimator.New(),
	}
}

// server is a server with its relative speed: the factor of its times.
type server struct {
	id     identifier.VMID
	factor float64
}

// cluster is a simulated availability zone in which nodes observe servers and one relay
// adds up what they report.
type cluster struct {
	now     timekeeper.Time
	rng     *rand.Rand
	nodes   []*node
	servers []*server
	relay   *calibrator.Calibrator
	// inTransit are the relay's sums that nodes have not received, oldest first. Sums take
	// delay in addition to transitTime, and those for which lost returns true never arrive.
	inTransit []delivery
	delay     timekeeper.Duration
	lost      func() bool
}

type delivery struct {
	due timekeeper.Time
	run func()
}

func newCluster(seed uint64, nodes, servers int) *cluster {
	c := &cluster{
		now:   start,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		relay: calibrator.New(),
		lost:  func() bool { return false },
	}
	for i := range nodes {
		c.nodes = append(c.nodes, newNode(i))
	}
	factors := []float64{0.7, 0.7, 1.7}
	for i := range servers {
		c.servers = append(c.servers, &server{
			id:     identifier.VMID(fmt.Sprintf("i-%d", i)),
			factor: factors[c.rng.IntN(len(factors))],
		})
	}
	return c
}

func (c *cluster) serverIDs(yield func(identifier.VMID) bool) {
	for _, s := range c.servers {
		if !yield(s.id) {
			return
		}
	}
}

// answerTime returns the time of a server of mean speed for the given work.
func answerTime(w estimator.Work) float64 {
	uncached := float64(w.Uncached)
	return 12 + uncached/70 + 0.1*uncached*(float64(w.Cached)+uncached/2)/1e6 + 0.8*float64(w.Running)
}

// drawWork returns work of which one in five is a long prompt.
func (c *cluster) drawWork() estimator.Work {
	mean := 1500.0
	if c.rng.IntN(5) == 0 {
		mean = 12_000
	}
	return estimator.Work{
		Uncached: identifier.Tokens(200 + mean*c.rng.ExpFloat64()),
		Running:  c.rng.IntN(20),
	}
}

// run plays the cluster for a time.
func (c *cluster) run(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for i, n := range c.nodes {
			c.observe(n)
			if c.due(reportInterval, i) {
				c.report(n)
			}
		}
		if c.due(relayInterval, 0) {
			c.sendSums()
		}
	}
}

// due reports whether periodic work is due in this step, each participant in its own.
func (c *cluster) due(interval timekeeper.Duration, participant int) bool {
	steps := int64(interval / step)
	return int64(c.now)/int64(step)%steps == int64(participant)%steps
}

// observe lets a node observe the answers of a step.
func (c *cluster) observe(n *node) {
	n.factors.Refresh(c.now, c.serverIDs)
	mean := answerRate * float64(len(c.servers)) * float64(step) / float64(timekeeper.Second)
	for count := c.poisson(mean); count > 0; count-- {
		s := c.servers[c.rng.IntN(len(c.servers))]
		w := c.drawWork()
		took := s.factor*answerTime(w)*math.Exp(0.2*c.rng.NormFloat64()) + 4*c.rng.Float64()
		if c.rng.Float64() < delayedPart {
			took += meanDelay * c.rng.ExpFloat64()
		}
		n.shared.Observe(s.id, w, timekeeper.Duration(took))
		n.alone.Observe(s.id, w, timekeeper.Duration(took))
	}
}

func (c *cluster) poisson(mean float64) int {
	count := 0
	for sum := c.rng.ExpFloat64(); sum < mean; sum += c.rng.ExpFloat64() {
		count++
	}
	return count
}

// report sends a node's evidence to the relay.
func (c *cluster) report(n *node) {
	c.relay.StoreReport(c.now, n.id, messenger.StateUpdate{Factors: n.calibrator.OwnReport(c.now, nil)})
}

// sendSums sends each node the sum over the others.
func (c *cluster) sendSums() {
	var ids []identifier.VMID
	for _, n := range c.nodes {
		ids = append(ids, n.id)
	}
	all := c.relay.ZoneSum(c.now, ids)
	for _, n := range c.nodes {
		if c.lost() {
			continue
		}
		update := messenger.StateUpdate{
			Scope:   messenger.ScopeOthers,
			Factors: c.relay.WithoutPeer(c.now, all, n.id),
		}
		c.inTransit = append(c.inTransit, delivery{
			due: c.now.Add(transitTime + c.delay),
			run: func() { n.calibrator.StoreReport(c.now, "relay", update) },
		})
	}
}

func (c *cluster) deliver() {
	for len(c.inTransit) > 0 && !c.now.Before(c.inTransit[0].due) {
		c.inTransit[0].run()
		c.inTransit = c.inTransit[1:]
	}
}

// meanError returns the mean absolute error of the logarithms of a node's factors,
// relative to a server of mean speed.
func (c *cluster) meanError(n *node, e *estimator.Estimator) float64 {
	n.factors.Refresh(c.now, c.serverIDs)
	centre := 0.0
	for _, s := range c.servers {
		centre += math.Log(s.factor) / float64(len(c.servers))
	}
	sum := 0.0
	for _, s := range c.servers {
		sum += math.Abs(math.Log(e.Factor(s.id)) + centre - math.Log(s.factor))
	}
	return sum / float64(len(c.servers))
}

// meanErrors returns the means of meanError over all nodes, with shared factors and
// without.
func (c *cluster) meanErrors() (shared, alone float64) {
	for _, n := range c.nodes {
		shared += c.meanError(n, n.shared) / float64(len(c.nodes))
		alone += c.meanError(n, n.alone) / float64(len(c.nodes))
	}
	return shared, alone
}

// server returns a server with the given factor.
func (c *cluster) server(factor float64) *server {
	return c.servers[slices.IndexFunc(c.servers, func(s *server) bool { return s.factor == factor })]
}
