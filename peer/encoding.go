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

// maxDecodedBytes bounds what an encoded part may unpack to.
const maxDecodedBytes = 64 << 20

// encodings keep the last encoded form of each part of the document, as many
// daemons ask for the same one. It is safe for concurrent use.
type encodings struct {
	mutex     sync.Mutex
	document  encoding
	directory encoding
	change    changeEncoding
}

// changeEncoding is the last change of the directory in encoded form: most daemons
// lack the same one.
type changeEncoding struct {
	after, revision objectstore.Version
	data            []byte
}

// encoding is one part in compressed JSON.
type encoding struct {
	position config.Position
	data     []byte
}

// of returns the part in encoded form; position tells it from other versions.
func (e *encoding) of(position config.Position, part any) ([]byte, error) {
	if e.data != nil && e.position == position {
		return e.data, nil
	}
	data, err := compress(part)
	if err != nil {
		return nil, err
	}
	e.position, e.data = position, data
	return data, nil
}

func (e *encodings) documentOf(document config.Document) ([]byte, error) {
	document.Directory, document.Evacuations, document.Rollouts = config.Directory{}, config.Evacuations{}, config.Rollouts{} // sent by themselves
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.document.of(document.Position(), document)
}

// changeOf returns what changed in a directory after a revision in encoded form, and
// false where that is not known.
func (e *encodings) changeOf(directory config.Directory, after objectstore.Version) ([]byte, bool, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if kept := e.change; kept.data != nil && kept.after == after && kept.revision == directory.Revision {
		return kept.data, true, nil
	}
	change, known := directory.ChangesAfter(after)
	if !known {
		return nil, false, nil
	}
	data, err := compress(change)
	e.change = changeEncoding{after: after, revision: directory.Revision, data: data}
	return data, true, err
}

func (e *encodings) directoryOf(directory config.Directory) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.directory.of(config.Position{Directory: directory.Revision}, directory)
}

// compress writes a part as compressed JSON.
func compress(part any) ([]byte, error) {
	plain, err := json.Marshal(part)
	if err != nil {
		return nil, errors.Annotate(err, "encoding for a daemon")
	}
	return pack(plain)
}

// decompress reads what compress wrote into target.
func decompress(data []byte, target any) error {
	plain, err := unpack(data)
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(plain, target), "compressed part")
}

// packers are compressors to be used again; each holds buffers of several hundred
// kilobytes.
var packers = sync.Pool{New: func() any {
	packer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return packer
}}

func pack(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	packer := packers.Get().(*gzip.Writer)
	defer packers.Put(packer)
	packer.Reset(&buffer)
	if _, err := packer.Write(plain); err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	if err := packer.Close(); err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	return buffer.Bytes(), nil
}

func unpack(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "compressed part")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes))
	return plain, errors.Annotate(err, "compressed part")
}

// encodeList writes what a daemon is told that asks for all.
func encodeList(list *peerpb.MemberList) (*peerpb.MembersReply, error) {
	plain, err := proto.Marshal(list)
	if err != nil {
		return nil, errors.Annotate(err, "list of members")
	}
	packed, err := pack(plain)
	return &peerpb.MembersReply{List: packed}, err
}

// decodeList reads what encodeList wrote.
func decodeList(reply *peerpb.MembersReply) (*peerpb.MemberList, error) {
	plain, err := unpack(reply.GetList())
	if err != nil {
		return nil, errors.Annotate(err, "list of members")
	}
	list := &peerpb.MemberList{}
	return list, errors.Annotate(proto.Unmarshal(plain, list), "list of members")
}
