package answerer

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Digest is a hash of the first tokens of an answer: equal digests at one index
// mean equal tokens up to it. The digest of no tokens is zero.
//
// Engines sample, so two continuations of one prompt differ. If an owner is
// partitioned from its peers, it and the node that adopted the request may each
// have one. A caller that switched nodes by index alone would read the start of
// one answer and the rest of the other. Comparing the digests at that index
// detects this.
type Digest uint64

var _ fmt.Stringer = Digest(0)

// digestSize is the size of a Digest in bytes.
const digestSize = 8

// Next returns the digest of the tokens of d followed by text. Chaining makes
// token boundaries significant and the cost of each token constant.
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

// ParseDigest parses the format of String. The error is an *InvalidDigestError.
func ParseDigest(text string) (Digest, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 2*digestSize {
		return 0, &InvalidDigestError{Text: text}
	}
	return Digest(value), nil
}

// digestAt returns the digest of the first n tokens, if the answer has that
// many. The caller must hold a.mu.
func (a *Answer) digestAt(n identifier.Tokens) (Digest, bool) {
	switch {
	case n <= 0:
		return 0, true
	case int(n) > len(a.digests):
		return 0, false
	}
	return a.digests[n-1], true
}

// Digest returns the digest of the first n tokens, if the answer has that many,
// released or not.
func (a *Answer) Digest(n identifier.Tokens) (Digest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digestAt(n)
}

// Check compares the first n tokens with a caller's digest of them and reports
// whether the comparison is final. It returns false if the answer does not have
// n tokens yet. The error is a *DivergedError if the two differ or the answer
// is complete with fewer than n tokens.
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

// AwaitCheck waits until Check is final or the answer has ended. The error is a
// *DivergedError or a *WaitError.
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
