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
		rollouts, err := marshalCompressed(document.Rollouts)
		if err != nil {
			return nil, errors.Annotate(err, "encoding rollouts")
		}
		reply.Rollouts = rollouts
	}
	return reply, n.addConfiguration(reply, document, after)
}

// addConfiguration adds the configuration changes after a position, or the whole configuration if
// they are not known. After a store rollback the same revisions may stand for different changes,
// so the whole configuration is sent if the store era differs.
func (n *Node) addConfiguration(reply *peerpb.ChangesReply, document config.Document, after config.Position) (err error) {
	if !after.BehindInConfiguration(document.Position()) {
		return nil
	}
	changes, complete := document.ChangesAfter(after.Revision)
	if !complete || after.Revision == 0 || after.Revision == document.Revision || after.StoreVersion.Era() != document.StoreVersion.Era() {
		reply.Document, err = n.encodings.encodeDocument(document)
		return err
	}
	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			return errors.Annotate(err, "encoding a configuration change")
		}
		reply.Changes = append(reply.Changes, data)
	}
	return nil
}

// addDirectory adds the directory changes after a revision, or the whole directory if they are not
// known.
func (n *Node) addDirectory(reply *peerpb.ChangesReply, directory config.Directory, after objectstore.Version) (err error) {
	if after >= directory.Revision {
		return nil
	}
	change, known, err := n.encodings.encodeDirectoryChange(directory, after)
	if err != nil || known {
		reply.DirectoryChange = change
		return err
	}
	reply.Directory, err = n.encodings.encodeDirectory(directory)
	return err
}

// applyReply applies the changes in a reply to a document. Parts that are not newer are ignored.
func applyReply(current config.Document, reply *peerpb.ChangesReply) (config.Document, error) {
	next, err := applyConfiguration(current, reply)
	if err != nil {
		return config.Document{}, err
	}
	if evacuations := reply.Evacuations; objectstore.Version(evacuations.GetRevision()) > current.Evacuations.Revision {
		next.Evacuations = config.Evacuations{Revision: objectstore.Version(evacuations.Revision), Zones: evacuations.Zones}
	}
	if next.Rollouts, err = applyRollouts(current.Rollouts, reply); err != nil {
		return config.Document{}, err
	}
	next.Directory, err = applyDirectory(current.Directory, reply)
	return next, err
}

func applyRollouts(current config.Rollouts, reply *peerpb.ChangesReply) (config.Rollouts, error) {
	if len(reply.Rollouts) == 0 {
		return current, nil
	}
	var rollouts config.Rollouts
	if err := unmarshalCompressed(reply.Rollouts, &rollouts); err != nil {
		return config.Rollouts{}, errors.Annotate(err, "decoding rollouts")
	}
	if rollouts.Revision <= current.Revision {
		return current, nil
	}
	return rollouts, nil
}

func applyDirectory(current config.Directory, reply *peerpb.ChangesReply) (config.Directory, error) {
	switch {
	case len(reply.DirectoryChange) > 0:
		var change config.DirectoryChange
		if err := unmarshalCompressed(reply.DirectoryChange, &change); err != nil {
			return config.Directory{}, errors.Annotate(err, "decoding the directory change")
		}
		next, _, err := current.ApplyChange(change)
		return next, err
	case len(reply.Directory) > 0:
		var directory config.Directory
		err := unmarshalCompressed(reply.Directory, &directory)
		return directory, errors.Annotate(err, "decoding the directory")
	}
	return current, nil
}

func applyConfiguration(current config.Document, reply *peerpb.ChangesReply) (config.Document, error) {
	offered := config.Position{Revision: config.Revision(reply.Revision), StoreVersion: objectstore.Version(reply.Stored)}
	if !current.Position().BehindInConfiguration(offered) {
		return current, nil
	}
	if len(reply.Document) > 0 {
		var document config.Document
		if err := unmarshalCompressed(reply.Document, &document); err != nil {
			return config.Document{}, errors.Annotate(err, "decoding the document")
		}
		document.Directory, document.Evacuations, document.Rollouts = current.Directory, current.Evacuations, current.Rollouts
		return document, nil
	}
	changes := make([]config.Change, len(reply.Changes))
	for index, data := range reply.Changes {
		if err := json.Unmarshal(data, &changes[index]); err != nil {
			return config.Document{}, errors.Annotate(err, "decoding a configuration change")
		}
	}
	next, err := current.ApplyChanges(changes)
	next.StoreVersion = offered.StoreVersion
	return next, err
}
