package bbrstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// maxObject bounds an object that is read, in bytes.
const maxObject = 64 << 20

// Objects is the object store.
type Objects struct {
	client *minio.Client
	bucket string
}

// NewObjects returns a client of the object store. Nothing is sent yet.
func NewObjects(o Options) (*Objects, error) {
	transport, err := minio.DefaultTransport(o.ObjectTLS)
	if err != nil {
		return nil, errors.Wrap(err, "make the object store's transport")
	}
	if o.Dial != nil {
		transport.DialContext = o.Dial
	}
	client, err := minio.New(o.ObjectEndpoint, &minio.Options{
		Creds:        credentials.NewStaticV4(o.AccessKey, o.SecretKey, ""),
		Secure:       o.ObjectTLS,
		Region:       o.Region,
		BucketLookup: minio.BucketLookupPath,
		MaxRetries:   1,
		Transport:    newCheckedTransport(transport),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "object store %q", o.ObjectEndpoint)
	}
	client.SetAppInfo(o.Name, "1")
	return &Objects{client: client, bucket: o.Bucket}, nil
}

func configurationName(hash string) string { return "configurations/" + hash + ".ini" }

func snapshotName(i bbrtype.Index) string { return fmt.Sprintf("snapshots/%016d.json", i) }

func (o *Objects) put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.PutObject(ctx, o.bucket, name, bytes.NewReader(body), int64(len(body)), minio.PutObjectOptions{})
	return errors.Wrapf(err, "store object %s", name)
}

func (o *Objects) get(ctx context.Context, name string) ([]byte, error) {
	obj, err := o.client.GetObject(ctx, o.bucket, name, minio.GetObjectOptions{})
	if err != nil {
		return nil, errors.Wrapf(err, "read object %s", name)
	}
	defer func() { _ = obj.Close() }()
	body, err := io.ReadAll(io.LimitReader(obj, maxObject))
	return body, errors.Wrapf(err, "read object %s", name)
}

// PutConfiguration stores a configuration's body under its hash.
func (o *Objects) PutConfiguration(ctx context.Context, body []byte) error {
	return o.put(ctx, configurationName(bbrconfig.Hash(body)), body)
}

// Configuration returns the body with a hash. A body with another hash is an
// error.
func (o *Objects) Configuration(ctx context.Context, hash string) ([]byte, error) {
	body, err := o.get(ctx, configurationName(hash))
	if err != nil {
		return nil, err
	}
	if got := bbrconfig.Hash(body); got != hash {
		return nil, errors.Errorf("object %s has the hash %s", configurationName(hash), got)
	}
	return body, nil
}

// PutSnapshot stores a state.
func (o *Objects) PutSnapshot(ctx context.Context, s *bbrjournal.State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	return o.put(ctx, snapshotName(s.AppliedIndex), body)
}

// Snapshot returns the state of an index.
func (o *Objects) Snapshot(ctx context.Context, i bbrtype.Index) (*bbrjournal.State, error) {
	body, err := o.get(ctx, snapshotName(i))
	if err != nil {
		return nil, err
	}
	var s bbrjournal.State
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, errors.Wrapf(err, "decode %s", snapshotName(i))
	}
	if s.AppliedIndex != i {
		return nil, errors.Errorf("%s holds the state of %d", snapshotName(i), s.AppliedIndex)
	}
	return &s, nil
}
