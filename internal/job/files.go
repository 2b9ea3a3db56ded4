package job

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// partitionOwnedFile is the prefix of the partitions that list an organisation's files.
const partitionOwnedFile = "OrganisationFile/"

// ownedFileWrite returns the write that adds a file to its organisation's list.
func ownedFileWrite(file File) (tablestore.Write, error) {
	return put(partitionOwnedFile+string(file.Organisation), string(file.ID), 0, file.Created)
}

// FilesOf returns up to limit files of the organisation in the order of their IDs, beginning after the given ID.
func (s *Store) FilesOf(ctx context.Context, organisation document.OrganisationID, after FileID, limit int) ([]File, error) {
	rows, err := s.table.Page(ctx, partitionOwnedFile+string(organisation), string(after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	files := make([]File, 0, len(rows))
	for _, row := range rows {
		file, err := s.File(ctx, organisation, FileID(row.Key.Sort))
		if errors.Is(err, ErrNotFound) {
			// The file was deleted after the page was read.
			continue
		}
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// DeleteFile marks a file as deleted, so that its organisation can no longer see it. Its content stays for the jobs
// that were created from it.
func (s *Store) DeleteFile(ctx context.Context, organisation document.OrganisationID, id FileID) error {
	var file File
	version, err := s.get(ctx, partitionFile, string(id), &file)
	if err != nil {
		return err
	}
	if file.Organisation != organisation || !file.Deleted.IsZero() {
		return ErrNotFound
	}
	file.Deleted = time.Now().UTC()
	hidden, err := put(partitionFile, string(id), version, file)
	if err != nil {
		return err
	}
	unlisted := tablestore.Write{
		Key:     key(partitionOwnedFile+string(organisation), string(id)),
		Action:  tablestore.ActionDelete,
		Version: 1,
	}
	return s.settle(ctx, tablestore.ClassCommit, []tablestore.Write{hidden, unlisted}, func() (bool, error) {
		_, err := s.File(ctx, organisation, id)
		return errors.Is(err, ErrNotFound), err
	})
}

// discardTimeout bounds the deletion of the lots of a failed upload.
const discardTimeout = 30 * time.Second

// Discard deletes the stored lots of an upload that was not accepted.
func (i *Intake) Discard(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	var failed error
	// The put of one more lot may have been interrupted after it took effect.
	for number := range i.file.Lots + 1 {
		err := i.objects.Delete(ctx, InputObject(i.file.ID, number))
		if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
			failed = storeError(err)
		}
	}
	return failed
}
