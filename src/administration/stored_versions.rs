//! Reads the head and older versions of the configuration from the store.

use super::*;

use crate::store::{Key, Revision};

/// Reads the store's head and its revision; `None` if the store has no head.
pub async fn read_head(shared: &Shared) -> Result<Option<(Head, Revision)>> {
  let Some(entry) = read_entry(shared, keys::head()).await? else {
    return Ok(None);
  };
  let head = entry.value.decode().map_err(|_| unreadable_value(&entry.key))?;
  Ok(Some((head, entry.revision)))
}

/// Reads the entries under a prefix, in the order of their keys.
pub async fn list_entries(shared: &Shared, prefix: Key) -> Result<Vec<Entry>> {
  match shared.call_store(StoreRequest::List { prefix }).await? {
    Reply::Entries { entries, .. } => Ok(entries),
    _ => Ok(Vec::new()),
  }
}

async fn read_entry(shared: &Shared, key: Key) -> Result<Option<Entry>> {
  match shared.call_store(StoreRequest::Read { key }).await? {
    Reply::Entry { entry, .. } => Ok(entry),
    _ => Ok(None),
  }
}

fn unreadable_value(key: &Key) -> Error {
  Error::NotFound { what: format!("the value of {key} cannot be read: repair it in the store") }
}

/// Loads the versions that the rollbacks of a script name.
pub async fn load_rollback_targets(
  node: &Node,
  script: &Script,
) -> Result<BTreeMap<Version, Arc<Configuration>>> {
  let mut found = BTreeMap::new();
  for statement in &script.statements {
    if let Statement::Rollback(version) = statement {
      found.insert(*version, load(&node.shared, *version).await?);
    }
  }
  Ok(found)
}

/// Loads a version, from this box or from the snapshots and archives in the store. Fails with
/// `NotFound` if the version is no longer kept.
pub async fn load(shared: &Shared, wanted: Version) -> Result<Arc<Configuration>> {
  if let Some(held) = shared.configuration().filter(|held| held.version == wanted) {
    return Ok(held);
  }
  let not_kept = || Error::NotFound {
    what: format!("version {wanted} is not kept any more, or never was: see `history`"),
  };
  let (head, _) = read_head(shared).await?.ok_or_else(not_kept)?;
  if wanted > head.version {
    return Err(not_kept());
  }
  let archive = if wanted >= head.snapshot_version {
    Archive {
      snapshot_digest: head.snapshot_digest,
      snapshot_version: head.snapshot_version,
      tail: head.changes_since_snapshot().cloned().collect(),
    }
  } else {
    let archives = list_entries(shared, keys::archives()).await?;
    let decoded = archives.iter().filter_map(|entry| entry.value.decode().ok());
    let covers =
      |archive: &Archive| archive.snapshot_version <= wanted && wanted <= archive.version();
    decoded.into_iter().find(covers).ok_or_else(not_kept)?
  };
  let key = keys::snapshot(archive.snapshot_version, &archive.snapshot_digest);
  let entry = read_entry(shared, key).await?.ok_or_else(not_kept)?;
  let mut configuration: Configuration =
    entry.value.decode().map_err(|_| unreadable_value(&entry.key))?;
  for change in archive.tail.iter().filter(|change| change.version() <= wanted) {
    configuration = configuration.apply(change).map_err(|_| unreadable_value(&entry.key))?;
  }
  Ok(Arc::new(configuration))
}
