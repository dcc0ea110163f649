package claim

import (
	"context"
	"encoding/json"

	"shallotramp/internal/provider/store"
)

// readShard carries out a [ReadShard] effect. It returns empty content and an empty version for a shard that does
// not exist, and false if the read failed.
func readShard(ctx context.Context, st store.Store, shard int) (c Content, version string, ok bool) {
	o, err := st.Get(ctx, Kind, shardName(shard))
	if store.Failed(err, store.NotFound) {
		return Content{}, "", true
	}
	if err != nil || json.Unmarshal(o.Spec, &c) != nil {
		return Content{}, "", false
	}
	return c, o.Version, true
}

// writeShard carries out a [WriteShard] effect. It returns the new version of a written shard.
func writeShard(ctx context.Context, st store.Store, e Effect) (Outcome, string) {
	spec, err := json.Marshal(e.Content)
	if err != nil {
		return Denied, ""
	}
	o := store.Object{Kind: Kind, Name: shardName(e.Shard), Version: e.Version, Spec: spec}
	if e.Version == "" {
		o, err = st.Create(ctx, o)
	} else {
		o, err = st.Update(ctx, o)
	}
	switch {
	case err == nil:
		return Written, o.Version
	case store.Failed(err, store.Conflict), store.Failed(err, store.Exists), store.Failed(err, store.NotFound):
		return Overtaken, ""
	case store.Failed(err, store.Unavailable):
		return Lost, ""
	}
	return Denied, ""
}
