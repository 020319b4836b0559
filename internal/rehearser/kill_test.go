package rehearser

import "testing"

// Guards against a lost or recomputed answer after the serving node is killed: the adopting node
// resumes the engine's stream by name.
func TestServingNodeKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	r := startReport(t, c.client("monday_reports", nil), "Report on the manuscript 'Harbor'.", 400)
	r.waitTokens(t, 100)
	request, address := r.attachment()
	r.takeMaxGap()
	c.killNode(t, c.nodeAt(t, address))
	r.waitComplete(t)
	_, after := r.attachment()
	t.Logf("moved from %s to %s, longest pause %s", address, after, r.takeMaxGap())
	c.requireNoRestart(t, request)
}
