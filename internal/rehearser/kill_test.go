package rehearser

import "testing"

// TestHomeNodeKilled: a caller reads a long report when the node that serves
// it is killed with SIGKILL. The connection breaks; the caller comes to another
// node, the holder of the copy adopts the request and takes the engine's stream
// up by its name. The caller sees a pause and then the rest: the engine never
// stopped, so nothing is computed anew.
func TestHomeNodeKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	r := ask(t, c.client("monday_reports", nil), "Report on the manuscript 'Harbor'.", 400)
	r.waitTokens(t, 100)
	request, address := r.home()
	r.takeGap()
	c.killNode(t, c.at(t, address))
	r.waitWhole(t)
	_, after := r.home()
	t.Logf("moved from %s to %s, longest pause %s", address, after, r.takeGap())
	c.requireNoRestart(t, request)
}
