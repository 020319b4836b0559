package rehearser

import "testing"

// The serving node is killed. The caller must get the rest of the answer from the node
// that adopts the request, which resumes the engine's stream by name without computing
// anything again.
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
