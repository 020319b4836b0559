package answerer

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Digest sums up the first tokens of an answer: equal digests at one index
// mean equal tokens up to it. That of no token is zero.
//
// Engines sample, so two continuations of one prompt differ. An owner that
// was cut off from its peers and the node that adopted its request may each
// have one. A caller that moved between the two by index alone would read the
// start of the one and the rest of the other, a splice that looks whole. The
// digest at the index shows whether two answers agree so far.
type Digest uint64

var _ fmt.Stringer = Digest(0)

// digestSize is the length of a Digest in bytes.
const digestSize = 8

// Next returns the digest of the tokens of d and one more. It is a chain, so
// that the bounds between tokens count and each token costs the same.
func (d Digest) Next(text string) Digest {
	var previous [digestSize]byte
	binary.BigEndian.PutUint64(previous[:], uint64(d))
	sum := xxhash.New()
	_, _ = sum.Write(previous[:])
	_, _ = sum.WriteString(text)
	return Digest(sum.Sum64())
}

// String returns d as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// ParseDigest reads what String returns. Its error is a *DigestError.
func ParseDigest(text string) (Digest, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 2*digestSize {
		return 0, &InvalidDigestError{Text: text}
	}
	return Digest(value), nil
}

// digestAt returns the digest of the first n tokens, if that many stand here.
// The caller holds a.mu.
func (a *Answer) digestAt(n identifier.Tokens) (Digest, bool) {
	switch {
	case n <= 0:
		return 0, true
	case int(n) > len(a.digests):
		return 0, false
	}
	return a.digests[n-1], true
}

// Digest returns the digest of the first n tokens, if that many stand here,
// released or not.
func (a *Answer) Digest(n identifier.Tokens) (Digest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digestAt(n)
}

// Check compares the answer with what a caller has of it, n tokens with the
// given digest, and reports whether that many stand here already. Its error is
// a *DivergedError where the two differ, which is also so of an answer that
// came to its whole end before n tokens.
func (a *Answer) Check(n identifier.Tokens, want Digest) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.check(n, want)
}

func (a *Answer) check(n identifier.Tokens, want Digest) (bool, error) {
	got, ok := a.digestAt(n)
	whole := a.visibleEnd().complete()
	if ok && got == want || !ok && !whole {
		return ok, nil
	}
	return true, &DivergedError{
		Request: a.spec.Request,
		Index:   n,
	}
}

// AwaitCheck waits until Check can tell, or the answer has ended without that
// many tokens. Its error is a *DivergedError or a *WaitError.
func (a *Answer) AwaitCheck(ctx context.Context, n identifier.Tokens, want Digest) error {
	var diverged error
	err := a.wait(ctx, func() bool {
		var ok bool
		ok, diverged = a.check(n, want)
		return ok || a.visibleEnd() != nil
	})
	if err != nil {
		return err
	}
	return diverged
}
