package configurer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// chooser draws a number below n. It uses rapid, which shrinks failing schedules, or a
// plain generator for the controls.
type chooser func(n int) int

// trial runs nodes over one log, with a random schedule of changes, appends, snapshots,
// expiry, reads, replacements of nodes and imports of peers' states.
type trial struct {
	draw  chooser
	rules rules
	log   *testLog
	nodes []*trackedNode
	// inFlight are created records that may still be appended. Each may be
	// appended more than once.
	inFlight [][]byte
	// reference is a node that reads each record as soon as it is appended.
	reference  *State
	operations []porcupine.Operation
	pending    map[identifier.Nonce]int
	fault      string
}

// trackedNode is a node with the largest revisions that it has applied.
type trackedNode struct {
	state    *State
	revision identifier.Revision
	files    map[identifier.FileName]identifier.Revision
}

func newTrial(draw chooser, r rules) *trial {
	p := &trial{
		draw:    draw,
		rules:   r,
		log:     newTestLog(),
		pending: make(map[identifier.Nonce]int),
	}
	p.reference = p.log.ready(allRules())
	for range 3 {
		p.nodes = append(p.nodes, p.start())
	}
	return p
}

func (p *trial) start() *trackedNode {
	return &trackedNode{
		state: p.log.node(p.rules),
		files: make(map[identifier.FileName]identifier.Revision),
	}
}

// run takes the given number of steps, lets all nodes read to the end, and returns the
// violation found, or "".
func (p *trial) run(steps int) string {
	actions := []func(){p.change, p.change, p.append, p.append, p.append, p.snapshot, p.read, p.read, p.read, p.expire, p.replace, p.importState}
	for range steps {
		actions[p.draw(len(actions))]()
		p.log.now = p.log.now.Add(timekeeper.Second)
	}
	for _, n := range p.nodes {
		p.absorb(n, len(p.log.records)+1)
		p.compare(n)
	}
	p.settleUnreported()
	return p.fault
}

// settleUnreported completes the operations whose verdict was not reported but that were
// accepted: they took effect at some time after their call.
func (p *trial) settleUnreported() {
	for nonce, i := range p.pending {
		if c, judged := p.reference.view.verdict(nonce); judged && c.Accepted {
			p.operations[i].Output = casOutput{
				accepted: true,
				revision: c.Revision,
			}
		}
	}
}

func (p *trial) node() (int, *trackedNode) {
	i := p.draw(len(p.nodes))
	return i, p.nodes[i]
}

func (p *trial) change() {
	i, n := p.node()
	file := identifier.FileName(fmt.Sprintf("%d.ini", p.draw(3)))
	text := ""
	if kind := p.draw(4); kind > 0 {
		text = []string{zoneFile("x"), zoneFile("y"), "[service s]\n"}[kind-1]
	}
	proposed := proposalOf(n.state, file, text)
	if p.draw(4) == 0 {
		proposed.BaseRevision = identifier.Offset(p.draw(int(p.log.next)))
	}
	data, nonce := p.log.propose(n.state, proposed)
	if data == nil {
		return
	}
	p.inFlight = append(p.inFlight, data)
	p.pending[nonce] = len(p.operations)
	p.operations = append(p.operations, porcupine.Operation{
		ClientId: i,
		Input: casInput{
			file: file,
			base: proposed.BaseRevision,
		},
		Call:   p.nextTime(),
		Output: casOutput{unknown: true},
		Return: 1 << 60,
	})
}

// nextTime returns a unique time for an event of the linearizability check.
func (p *trial) nextTime() int64 {
	p.log.now++
	return int64(p.log.now)
}

func (p *trial) append() {
	if len(p.inFlight) == 0 {
		return
	}
	i := p.draw(len(p.inFlight))
	p.log.append(p.inFlight[i])
	if p.draw(3) > 0 {
		p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
	}
	p.log.read(p.reference)
}

func (p *trial) snapshot() {
	_, n := p.node()
	if n.state.Fault() == nil {
		p.inFlight = append(p.inFlight, encode(record{Snapshot: n.state.view.snapshot()}))
	}
}

func (p *trial) read() {
	_, n := p.node()
	p.absorb(n, 1+p.draw(4))
}

// expire expires records. In three of four cases it first appends a snapshot, as the
// timers do. Otherwise nodes may be left with a gap, which they must report.
func (p *trial) expire() {
	if p.draw(4) > 0 {
		p.log.append(encode(record{Snapshot: p.reference.view.snapshot()}))
		p.log.read(p.reference)
	}
	back := identifier.Offset(p.draw(10))
	if p.log.next > back {
		p.log.expire(p.log.next - back)
	}
	// Nodes rely on records not expiring within the retention.
	p.log.now = p.log.now.Add(testRetention)
	p.log.read(p.reference)
}

func (p *trial) replace() {
	i, _ := p.node()
	p.nodes[i] = p.start()
}

func (p *trial) importState() {
	_, from := p.node()
	_, to := p.node()
	applied, err := to.state.Import(p.log.now, from.state.Export())
	if err == nil {
		p.check(to, applied)
	}
}

func (p *trial) absorb(n *trackedNode, limit int) {
	p.check(n, n.state.ApplyRecords(p.log.now, p.log.retained(n.state.ReadFrom(), limit)))
}

// check requires that no revision decreases on a node.
func (p *trial) check(n *trackedNode, applied []Applied) {
	for _, a := range applied {
		p.settle(a)
	}
	if n.state.Revision() < n.revision {
		p.fault = fmt.Sprintf("revision %d after %d", n.state.Revision(), n.revision)
	}
	n.revision = n.state.Revision()
	for file, before := range n.files {
		if now := n.state.Files()[file].Revision; now < before {
			p.fault = fmt.Sprintf("%s at revision %d after %d", file, now, before)
		}
	}
	for file, state := range n.state.Files() {
		n.files[file] = state.Revision
	}
}

// settle completes an operation whose verdict was reported to its operator.
func (p *trial) settle(a Applied) {
	i, ok := p.pending[a.Nonce]
	if !ok || a.Ticket == 0 {
		return
	}
	delete(p.pending, a.Nonce)
	invalid := !a.Verdict.Accepted && a.Verdict.Revision == p.operations[i].Input.(casInput).base
	p.operations[i].Return = p.nextTime()
	p.operations[i].Output = casOutput{
		accepted: a.Verdict.Accepted,
		invalid:  invalid,
		revision: a.Verdict.Revision,
	}
}

// compare requires that a node without a fault has the state of the reference.
func (p *trial) compare(n *trackedNode) {
	if n.state.Fault() == nil && !equalState(n.state, p.reference) {
		p.fault = fmt.Sprintf("a node has %v, the reference %v", n.state.History(), p.reference.History())
	}
}

func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		p := newTrial(draw, allRules())
		require.Empty(rt, p.run(60))
		require.True(rt, linearizable(p.operations))
	})
}

// With any of the rules disabled, some schedule violates the property or the
// linearizability of the verdicts.
func TestNodesAgreeControl(t *testing.T) {
	cases := map[string]func(*rules){
		"compareRevision":     func(r *rules) { r.compareRevision = false },
		"checkMerged":         func(r *rules) { r.checkMerged = false },
		"countOnce":           func(r *rules) { r.countOnce = false },
		"keepTombstones":      func(r *rules) { r.keepTombstones = false },
		"ignoreSeenSnapshots": func(r *rules) { r.ignoreSeenSnapshots = false },
		"replayFromAsOf":      func(r *rules) { r.replayFromAsOf = false },
		"detectGap":           func(r *rules) { r.detectGap = false },
		"importOnlyNewer":     func(r *rules) { r.importOnlyNewer = false },
	}
	for name, off := range cases {
		t.Run(name, func(t *testing.T) {
			weakened := allRules()
			off(&weakened)
			require.True(t, violationFound(weakened))
		})
	}
}

// With the comparison of revisions disabled on all nodes and the reference, the nodes
// agree but the verdicts are not linearizable.
func TestLinearizabilityControl(t *testing.T) {
	weakened := allRules()
	weakened.compareRevision = false
	violated := false
	for seed := range uint64(200) {
		p := newTrial(rand.New(rand.NewPCG(seed, 0)).IntN, weakened)
		p.reference.rules = weakened
		p.run(60)
		violated = violated || !linearizable(p.operations)
	}
	require.True(t, violated)
}

func violationFound(r rules) bool {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		p := newTrial(rng.IntN, r)
		if p.run(60) != "" || !linearizable(p.operations) {
			return true
		}
	}
	return false
}

// casInput is the input of a compare-and-set of a file's revision.
type casInput struct {
	file identifier.FileName
	base identifier.Revision
}

type casOutput struct {
	unknown  bool
	accepted bool
	// invalid marks a rejection for another reason than the revision.
	invalid  bool
	revision identifier.Revision
}

// linearizable reports whether the verdicts are those of one register per file.
func linearizable(operations []porcupine.Operation) bool {
	return porcupine.CheckOperations(registers(), operations)
}

// registers models one register per file, which holds the file's revision.
func registers() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byFile := make(map[identifier.FileName][]porcupine.Operation)
			for _, op := range history {
				if out := op.Output.(casOutput); !out.unknown {
					file := op.Input.(casInput).file
					byFile[file] = append(byFile[file], op)
				}
			}
			var parts [][]porcupine.Operation
			for _, ops := range byFile {
				parts = append(parts, ops)
			}
			return parts
		},
		Init: func() any { return identifier.Revision(0) },
		Step: func(state, input, output any) (bool, any) {
			stands, in, out := state.(identifier.Revision), input.(casInput), output.(casOutput)
			switch {
			case out.accepted:
				return stands == in.base && out.revision > stands, out.revision
			case out.invalid:
				return stands == in.base, stands
			default:
				return stands != in.base && out.revision == stands, stands
			}
		},
	}
}
