package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// maxDecodedBytes bounds the decompressed size of an encoded part.
const maxDecodedBytes = 64 << 20

// encodingCache keeps the last encoded form of each part of the document, as many daemons request
// the same one. It is safe for concurrent use.
type encodingCache struct {
	mutex     sync.Mutex
	document  cachedEncoding
	directory cachedEncoding
	change    cachedDirectoryChange
}

// cachedDirectoryChange is the last encoded change of the directory. Most daemons lack the same
// change.
type cachedDirectoryChange struct {
	after, revision objectstore.Version
	data            []byte
}

// cachedEncoding is one part as compressed JSON.
type cachedEncoding struct {
	position config.Position
	data     []byte
}

// get returns the encoded part, from the cache if the position is the cached one.
func (e *cachedEncoding) get(position config.Position, part any) ([]byte, error) {
	if e.data != nil && e.position == position {
		return e.data, nil
	}
	data, err := marshalCompressed(part)
	if err != nil {
		return nil, err
	}
	e.position, e.data = position, data
	return data, nil
}

func (e *encodingCache) encodeDocument(document config.Document) ([]byte, error) {
	document.Directory, document.Evacuations, document.Rollouts = config.Directory{}, config.Evacuations{}, config.Rollouts{} // sent separately
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.document.get(document.Position(), document)
}

// encodeDirectoryChange returns what changed in a directory after a revision, encoded, or false if
// the changes are not known.
func (e *encodingCache) encodeDirectoryChange(directory config.Directory, after objectstore.Version) ([]byte, bool, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if cached := e.change; cached.data != nil && cached.after == after && cached.revision == directory.Revision {
		return cached.data, true, nil
	}
	change, known := directory.ChangesAfter(after)
	if !known {
		return nil, false, nil
	}
	data, err := marshalCompressed(change)
	e.change = cachedDirectoryChange{after: after, revision: directory.Revision, data: data}
	return data, true, err
}

func (e *encodingCache) encodeDirectory(directory config.Directory) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.directory.get(config.Position{Directory: directory.Revision}, directory)
}

// marshalCompressed encodes a part as compressed JSON.
func marshalCompressed(part any) ([]byte, error) {
	plain, err := json.Marshal(part)
	if err != nil {
		return nil, errors.Annotate(err, "encoding JSON")
	}
	return gzipCompress(plain)
}

// unmarshalCompressed decodes the result of marshalCompressed into target.
func unmarshalCompressed(data []byte, target any) error {
	plain, err := gzipDecompress(data)
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(plain, target), "decoding compressed JSON")
}

// gzipWriters pools compressors, as each holds buffers of several hundred kilobytes.
var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

func gzipCompress(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(plain); err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	return buffer.Bytes(), nil
}

func gzipDecompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes))
	return plain, errors.Annotate(err, "decompressing")
}

// encodeList encodes the list for a daemon that requests all members.
func encodeList(list *peerpb.MemberList) (*peerpb.MembersReply, error) {
	plain, err := proto.Marshal(list)
	if err != nil {
		return nil, errors.Annotate(err, "encoding the member list")
	}
	compressed, err := gzipCompress(plain)
	return &peerpb.MembersReply{List: compressed}, err
}

// decodeList decodes the result of encodeList.
func decodeList(reply *peerpb.MembersReply) (*peerpb.MemberList, error) {
	plain, err := gzipDecompress(reply.GetList())
	if err != nil {
		return nil, errors.Annotate(err, "decoding the member list")
	}
	list := &peerpb.MemberList{}
	return list, errors.Annotate(proto.Unmarshal(plain, list), "decoding the member list")
}
