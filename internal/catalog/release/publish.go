package release

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/provider/store"
)

// RefusedError reports a set that was not published because of findings of severity Refusal. Findings holds all
// findings, also the warnings.
type RefusedError struct{ Findings []object.Finding }

func (e *RefusedError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		if f.Severity == object.Refusal {
			lines = append(lines, f.Error())
		}
	}
	return "the configuration was not published:\n  " + strings.Join(lines, "\n  ")
}

// ConflictError reports a publication that was rejected because another one came first. Nothing was published.
type ConflictError struct {
	// Base is the release that the change is based on, Latest the newest one.
	Base   uint64
	Latest Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("release %d by %s was published since release %d, on which this change is based; nothing was published: run 'shallotramp diff --from %d', merge the other change and publish with --base %d",
		e.Latest.Number, e.Latest.Author, e.Base, e.Base, e.Latest.Number)
}

// Publication is a set to publish and the release that it is based on.
type Publication struct {
	// Base is the number of the release that the change is based on.
	Base   uint64
	Set    *object.Set
	Author string
	Note   string
}

// Publish checks the set and commits it as the next release by one conditional
// update of the head. It returns a [RefusedError] or a [ConflictError] when nothing
// was published. If the update returns an error, it reads the head again to find
// out whether the release was committed.
func Publish(ctx context.Context, st store.Store, c Publication, now time.Time) (Entry, error) {
	if fs := c.Set.Check(); object.Refused(fs) {
		return Entry{}, &RefusedError{Findings: fs}
	}
	head, version, err := ReadHead(ctx, st)
	if err != nil {
		return Entry{}, err
	}
	if head.Number != c.Base {
		return Entry{}, &ConflictError{Base: c.Base, Latest: head.Entry}
	}
	refs, content, err := Split(c.Set)
	if err != nil {
		return Entry{}, err
	}
	next := Entry{Number: nextNumber(head, st), Digest: DigestOf(refs), Author: c.Author, Note: c.Note, Time: now, Chunks: refs}
	if err := writeChunks(ctx, st, refs, content, head); err != nil {
		return Entry{}, err
	}
	spec, err := json.Marshal(nextHead(head, next))
	if err != nil {
		return Entry{}, err
	}
	o := store.Object{Kind: HeadKind, Name: HeadName, Version: version, Spec: spec}
	if version == "" {
		_, err = st.Create(ctx, o)
	} else {
		_, err = st.Update(ctx, o)
	}
	if err == nil {
		return next, nil
	}
	return resolveWriteError(ctx, st, c, next, err)
}

// resolveWriteError finds out whether a write of the head that returned an error was committed.
func resolveWriteError(ctx context.Context, st store.Store, c Publication, next Entry, cause error) (Entry, error) {
	head, _, err := ReadHead(ctx, st)
	if err != nil {
		return Entry{}, errors.Wrapf(cause, "release %d may have been published; run 'shallotramp history' before you publish again", next.Number)
	}
	for _, e := range append([]Entry{head.Entry}, head.History...) {
		if e.Number == next.Number && e.Digest == next.Digest && e.Author == next.Author && e.Time.Equal(next.Time) {
			return e, nil
		}
	}
	if head.Number != c.Base {
		return Entry{}, &ConflictError{Base: c.Base, Latest: head.Entry}
	}
	return Entry{}, cause
}

// numbersPerEra is more than the number of releases between two restorations of the store.
const numbersPerEra = 1_000_000

// nextNumber returns the number of the release after that of head. A store that was restored from a copy has lost the newest
// releases, and hosts that use them ignore other releases with their numbers. So each era has numbers of its own.
func nextNumber(head Head, st store.Store) uint64 {
	era, _ := store.CurrentEra(st)
	return max(head.Number+1, uint64(era)*numbersPerEra+1)
}

// nextHead returns the head that commits next as the successor of h.
func nextHead(h Head, next Entry) Head {
	out := Head{Entry: next}
	if h.Number > 0 {
		out.History = append([]Entry{h.Entry}, h.History...)
	}
	if len(out.History) > historyLength {
		out.History = out.History[:historyLength]
	}
	return out
}

// writeChunks creates the chunks that the newest release does not have. A chunk that
// exists already has the same content, as its name is the digest of its content.
func writeChunks(ctx context.Context, st store.Store, refs []ChunkRef, content map[string][]byte, head Head) error {
	existing := map[string]bool{}
	for _, r := range head.Chunks {
		existing[r.Digest] = true
	}
	for _, r := range refs {
		if existing[r.Digest] {
			continue
		}
		spec, err := json.Marshal(ChunkSpec{Documents: content[r.Digest]})
		if err != nil {
			return err
		}
		_, err = st.Create(ctx, store.Object{Kind: ChunkKind, Name: r.Digest, Spec: spec})
		if err != nil && !store.Failed(err, store.Exists) {
			return errors.Wrap(err, "writing a chunk of the release failed; nothing was published, so publish again")
		}
	}
	return nil
}

// maxConflicts bounds how often [Amend] applies its change to a newer release after a conflict.
const maxConflicts = 10

// ErrNoRelease is returned if a release is needed and none is published yet.
var ErrNoRelease = errors.New("no release is published yet; run 'shallotramp publish FILE'")

// Load reads the release with this number, or the newest one if number is 0.
func Load(ctx context.Context, st store.Store, number uint64) (Entry, *object.Set, error) {
	head, _, err := ReadHead(ctx, st)
	if err != nil {
		return Entry{}, nil, err
	}
	if head.Number == 0 {
		return Entry{}, nil, ErrNoRelease
	}
	for _, e := range append([]Entry{head.Entry}, head.History...) {
		if number != 0 && e.Number != number {
			continue
		}
		content, err := ReadChunks(ctx, st, e.Chunks, nil)
		if err != nil {
			return Entry{}, nil, err
		}
		set, err := Join(e.Chunks, content)
		return e, set, err
	}
	return Entry{}, nil, errors.Newf("release %d does not exist or is too old; run 'shallotramp history' to list the releases", number)
}

// Amend applies change to the newest release and publishes the result. If another publication comes first, it
// applies change to that newer release. If change returns false, nothing is published.
func Amend(ctx context.Context, st store.Store, who, note string, change func(*object.Set) (bool, error)) (Entry, error) {
	for range maxConflicts {
		base, set, err := Load(ctx, st, 0)
		if err != nil {
			return Entry{}, err
		}
		changed, err := change(set)
		if err != nil || !changed {
			return base, err
		}
		e, err := Publish(ctx, st, Publication{Base: base.Number, Set: set, Author: who, Note: note}, time.Now().UTC())
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return e, err
		}
	}
	return Entry{}, errors.Newf("%d other publications came first; nothing was published: try again", maxConflicts)
}
