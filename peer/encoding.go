package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// maxDecodedBytes bounds what an encoded part may unpack to.
const maxDecodedBytes = 64 << 20

// encodings keep the last encoded form of each part of the document, as many
// daemons ask for the same one. It is safe for concurrent use.
type encodings struct {
	mutex     sync.Mutex
	document  encoding
	directory encoding
}

// encoding is one part in compressed JSON.
type encoding struct {
	revision config.Revision
	data     []byte
}

// of returns the part in encoded form; revision tells it from other versions.
func (e *encoding) of(revision config.Revision, part any) ([]byte, error) {
	if e.data != nil && e.revision == revision {
		return e.data, nil
	}
	data, err := compress(part)
	if err != nil {
		return nil, err
	}
	e.revision, e.data = revision, data
	return data, nil
}

func (e *encodings) documentOf(document config.Document) ([]byte, error) {
	document.Directory = config.Directory{} // sent by itself
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.document.of(document.Revision, document)
}

func (e *encodings) directoryOf(directory config.Directory) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.directory.of(directory.Revision, directory)
}

func compress(part any) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	if err := json.NewEncoder(writer).Encode(part); err != nil {
		return nil, errors.Annotate(err, "encoding for a daemon")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "compressing")
	}
	return buffer.Bytes(), nil
}

// decompress reads what compress wrote into target.
func decompress(data []byte, target any) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Annotate(err, "compressed part")
	}
	limited := io.LimitReader(reader, maxDecodedBytes)
	return errors.Annotate(json.NewDecoder(limited).Decode(target), "compressed part")
}
