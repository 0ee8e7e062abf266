package peer

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// changesAfter encodes what is in force here and newer than a position.
func (n *Node) changesAfter(after config.Position) (*peerpb.ChangesReply, error) {
	document := n.options.Configuration.Document()
	reply := &peerpb.ChangesReply{Revision: uint64(document.Revision), Stored: uint64(document.StoreVersion)}
	if err := n.addDirectory(reply, document.Directory, after.Directory); err != nil {
		return nil, err
	}
	if document.Evacuations.Revision > after.Evacuations {
		reply.Evacuations = &peerpb.Evacuations{Revision: uint64(document.Evacuations.Revision), Zones: document.Evacuations.Zones}
	}
	if document.Rollouts.Revision > after.Rollouts {
		rollouts, err := compress(document.Rollouts)
		if err != nil {
			return nil, errors.Annotate(err, "rollouts")
		}
		reply.Rollouts = rollouts
	}
	return reply, n.addConfiguration(reply, document, after)
}

// addConfiguration adds the changes after a position, or the whole configuration. Where the store came back older
// in between, the same revisions may stand for other changes.
func (n *Node) addConfiguration(reply *peerpb.ChangesReply, document config.Document, after config.Position) (err error) {
	if !after.BehindInConfiguration(document.Position()) {
		return nil
	}
	changes, reaches := document.ChangesAfter(after.Revision)
	if !reaches || after.Revision == 0 || after.Revision == document.Revision || after.StoreVersion.Era() != document.StoreVersion.Era() {
		reply.Document, err = n.encodings.documentOf(document)
		return err
	}
	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			return errors.Annotate(err, "a configuration change")
		}
		reply.Changes = append(reply.Changes, data)
	}
	return nil
}

// addDirectory adds what changed in the directory after a revision, or all of it.
func (n *Node) addDirectory(reply *peerpb.ChangesReply, directory config.Directory, after objectstore.Version) (err error) {
	if after >= directory.Revision {
		return nil
	}
	change, known, err := n.encodings.changeOf(directory, after)
	if err != nil || known {
		reply.DirectoryChange = change
		return err
	}
	reply.Directory, err = n.encodings.directoryOf(directory)
	return err
}

// follow adds changes that another daemon told to a document. What is not newer is
// passed over.
func follow(present config.Document, reply *peerpb.ChangesReply) (config.Document, error) {
	next, err := followChanges(present, reply)
	if err != nil {
		return config.Document{}, err
	}
	if told := reply.Evacuations; objectstore.Version(told.GetRevision()) > present.Evacuations.Revision {
		next.Evacuations = config.Evacuations{Revision: objectstore.Version(told.Revision), Zones: told.Zones}
	}
	if next.Rollouts, err = followRollouts(present.Rollouts, reply); err != nil {
		return config.Document{}, err
	}
	next.Directory, err = followDirectory(present.Directory, reply)
	return next, err
}

func followRollouts(present config.Rollouts, reply *peerpb.ChangesReply) (config.Rollouts, error) {
	if len(reply.Rollouts) == 0 {
		return present, nil
	}
	var told config.Rollouts
	if err := decompress(reply.Rollouts, &told); err != nil {
		return config.Rollouts{}, errors.Annotate(err, "rollouts")
	}
	if told.Revision <= present.Revision {
		return present, nil
	}
	return told, nil
}

func followDirectory(present config.Directory, reply *peerpb.ChangesReply) (config.Directory, error) {
	switch {
	case len(reply.DirectoryChange) > 0:
		var change config.DirectoryChange
		if err := decompress(reply.DirectoryChange, &change); err != nil {
			return config.Directory{}, errors.Annotate(err, "a change of the directory")
		}
		next, _, err := present.ApplyChange(change)
		return next, err
	case len(reply.Directory) > 0:
		var directory config.Directory
		err := decompress(reply.Directory, &directory)
		return directory, errors.Annotate(err, "the directory")
	}
	return present, nil
}

func followChanges(present config.Document, reply *peerpb.ChangesReply) (config.Document, error) {
	told := config.Position{Revision: config.Revision(reply.Revision), StoreVersion: objectstore.Version(reply.Stored)}
	if !present.Position().BehindInConfiguration(told) {
		return present, nil
	}
	if len(reply.Document) > 0 {
		var document config.Document
		if err := decompress(reply.Document, &document); err != nil {
			return config.Document{}, errors.Annotate(err, "the document")
		}
		document.Directory, document.Evacuations, document.Rollouts = present.Directory, present.Evacuations, present.Rollouts
		return document, nil
	}
	changes := make([]config.Change, len(reply.Changes))
	for index, data := range reply.Changes {
		if err := json.Unmarshal(data, &changes[index]); err != nil {
			return config.Document{}, errors.Annotate(err, "a configuration change")
		}
	}
	next, err := present.ApplyChanges(changes)
	next.StoreVersion = told.StoreVersion
	return next, err
}
