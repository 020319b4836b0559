package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// entryEncodings holds the encoded server entries of the calls in progress. Calls that send
// the same list to several peers share one encoding, so that the memory for them does not
// grow with the number of peers. It is safe for concurrent use.
type entryEncodings struct {
	mu    sync.Mutex
	lists map[entryList]*entryEncoding
}

// entryList identifies a list of entries, which must not change while it is in use.
type entryList struct {
	first *messenger.PublishedServer
	count int
}

type entryEncoding struct {
	encode func() ([]byte, error)
	users  int
}

func newEntryEncodings() *entryEncodings {
	return &entryEncodings{lists: map[entryList]*entryEncoding{}}
}

// acquire returns the encoding of entries as a part of a pb.ShareRequest. The caller must
// call release when it no longer uses the encoding.
func (x *entryEncodings) acquire(entries []messenger.PublishedServer) (data []byte, release func(), err error) {
	if len(entries) == 0 {
		return nil, func() {}, nil
	}
	list := entryList{
		first: &entries[0],
		count: len(entries),
	}
	x.mu.Lock()
	e := x.lists[list]
	if e == nil {
		e = &entryEncoding{encode: sync.OnceValues(func() ([]byte, error) { return encodeEntries(entries) })}
		x.lists[list] = e
	}
	e.users++
	x.mu.Unlock()
	data, err = e.encode()
	return data, func() { x.release(list, e) }, err
}

func (x *entryEncodings) release(list entryList, e *entryEncoding) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.users--; e.users == 0 {
		delete(x.lists, list)
	}
}

func encodeEntries(entries []messenger.PublishedServer) ([]byte, error) {
	part := &pb.ShareRequest{}
	for _, e := range entries {
		part.Servers = append(part.Servers, encodePublishedServer(e))
	}
	return proto.Marshal(part)
}

type suffixKey struct{}

// withSuffix returns a context whose call sends data after its encoded request. The
// receiver decodes both as one message: fields of the suffix are merged into it.
func withSuffix(ctx context.Context, data []byte) context.Context {
	if len(data) == 0 {
		return ctx
	}
	return context.WithValue(ctx, suffixKey{}, data)
}

// suffixOf returns the suffix of a call, or nil.
func suffixOf(ctx context.Context) []byte {
	data, _ := ctx.Value(suffixKey{}).([]byte)
	return data
}

// appendSuffix returns the request with the suffix of its call, which is not copied.
func appendSuffix(request *http.Request) *http.Request {
	suffix := suffixOf(request.Context())
	if len(suffix) == 0 {
		return request
	}
	out := request.Clone(request.Context())
	out.ContentLength += int64(len(suffix))
	out.Body = joinedBody(request.Body, suffix)
	out.GetBody = func() (io.ReadCloser, error) {
		body, err := request.GetBody()
		if err != nil {
			return nil, err
		}
		return joinedBody(body, suffix), nil
	}
	return out
}

func joinedBody(body io.ReadCloser, suffix []byte) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{
		Reader: io.MultiReader(body, bytes.NewReader(suffix)),
		Closer: body,
	}
}

// suffixSize returns the size of the suffix of a call.
func suffixSize(ctx context.Context) identifier.Bytes { return identifier.Bytes(len(suffixOf(ctx))) }
