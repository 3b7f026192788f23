//! The keys of configurations, daemons' entries and relays in the store.

use super::*;

/// Returns the prefix of all daemons' entries.
pub fn endpoints() -> Key {
  Key::of(&["mesh", "boxes", ""])
}

/// Returns the key of a daemon's entry.
pub fn endpoint(box_id: &BoxId) -> Key {
  Key::of(&["mesh", "boxes", &box_id.short()])
}

/// Returns the box whose entry is stored at `key`; `None` also where the key holds its name
/// shortened.
pub fn endpoint_of(key: &Key) -> Option<BoxId> {
  BoxId::decoded(key.as_str().strip_prefix("mesh/boxes/")?)
}

/// Returns the prefix of the directory: the entries of all daemons and the records of roll-outs.
pub fn directory() -> Key {
  Key::of(&["mesh", ""])
}

/// Returns the key of the head, which names the newest version.
pub fn head() -> Key {
  Key::of(&["mesh", "head"])
}

/// Returns the prefix that a watcher watches: the head and the relays, in one call.
pub fn watched() -> Key {
  Key::of(&["mesh", ""])
}

/// Returns the key of a relay slot.
pub fn relay(slot: &RelaySlot) -> Key {
  Key::of(&["mesh", "relays", &slot.data_hall.encoded(), &slot.index.to_string()])
}

/// Returns the prefix of all relay slots of a data hall.
pub fn relays_of(data_hall: &DataHall) -> Key {
  Key::of(&["mesh", "relays", &data_hall.encoded(), ""])
}

/// Returns the relay slot stored at `key`.
pub fn slot_of(key: &Key) -> Option<RelaySlot> {
  let mut parts = key.as_str().strip_prefix("mesh/relays/")?.split('/');
  let data_hall = DataHall::decoded(parts.next()?)?;
  let index = parts.next()?.parse().ok()?;
  Some(RelaySlot { data_hall, index })
}

/// Returns the key of a snapshot, a whole configuration.
pub fn snapshot(version: Version, digest: &Digest) -> Key {
  Key::of(&["snapshots", &format!("{:020}-{}", version.0, digest.short())])
}

/// Returns the key of an archive, the changes between two snapshots.
pub fn archive(archive: &Archive) -> Key {
  let range = format!("{:020}-{:020}", archive.snapshot_version.0, archive.version().0);
  Key::of(&["archives", &range])
}

/// Returns the prefix of all archives.
pub fn archives() -> Key {
  Key::of(&["archives", ""])
}

/// Returns the prefix of all snapshots.
pub fn snapshots() -> Key {
  Key::of(&["snapshots", ""])
}
