//! The store's keys that configurations and relays use.

use super::*;

/// The entries of all daemons.
pub fn endpoints() -> Key {
  Key::of(&["mesh", "boxes", ""])
}

/// The key of a daemon's own entry.
pub fn endpoint(box_id: &BoxId) -> Key {
  Key::of(&["mesh", "boxes", box_id.as_str()])
}

/// The box whose entry a key stands for.
pub fn endpoint_of(key: &Key) -> Option<BoxId> {
  key.as_str().strip_prefix("mesh/boxes/")?.parse().ok()
}

/// The entries of all daemons, and the records of roll-outs: what a directory read brings.
pub fn directory() -> Key {
  Key::of(&["mesh", ""])
}

/// The key of the newest version.
pub fn head() -> Key {
  Key::of(&["mesh", "head"])
}

/// What every watcher watches: the head and the relays, in one call.
pub fn watched() -> Key {
  Key::of(&["mesh", ""])
}

/// The key of a relay slot.
pub fn relay(slot: &RelaySlot) -> Key {
  Key::of(&["mesh", "relays", slot.data_hall.as_str(), &slot.index.to_string()])
}

/// All relay slots of a data hall.
pub fn relays_of(data_hall: &DataHall) -> Key {
  Key::of(&["mesh", "relays", data_hall.as_str(), ""])
}

/// The slot that a key stands for.
pub fn slot_of(key: &Key) -> Option<RelaySlot> {
  let mut parts = key.as_str().strip_prefix("mesh/relays/")?.split('/');
  let data_hall = parts.next()?.parse().ok()?;
  let index = parts.next()?.parse().ok()?;
  Some(RelaySlot { data_hall, index })
}

/// The key of a whole configuration.
pub fn snapshot(version: Version, digest: &Digest) -> Key {
  Key::of(&["snapshots", &format!("{:020}-{}", version.0, digest.short())])
}

/// The key of the changes between two snapshots.
pub fn archive(archive: &Archive) -> Key {
  let range = format!("{:020}-{:020}", archive.snapshot_version.0, archive.version().0);
  Key::of(&["archives", &range])
}

/// All archives.
pub fn archives() -> Key {
  Key::of(&["archives", ""])
}

/// All whole configurations.
pub fn snapshots() -> Key {
  Key::of(&["snapshots", ""])
}
