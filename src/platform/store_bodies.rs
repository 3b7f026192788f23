//! The bodies of the platform's store.

use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// An item as the store gives it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Item {
  key: String,
  revision: u64,
  /// Set where a watch tells that the key is gone.
  #[serde(default)]
  tombstone: bool,
  #[serde(default)]
  value: String,
}

/// One item with the store's own revision.
#[derive(Deserialize)]
pub(super) struct ItemReply {
  #[serde(rename = "CurrentRev")]
  pub(super) store_revision: u64,
  #[serde(flatten)]
  pub(super) item: Item,
}

/// One page of a list. The pages of one list are not read at one moment.
#[derive(Deserialize)]
pub(super) struct PageReply {
  #[serde(rename = "HasMore")]
  pub(super) has_more: bool,
  pub(super) items: Vec<Item>,
  #[serde(rename = "CurrentRev")]
  pub(super) store_revision: u64,
}

/// What a watch saw.
#[derive(Deserialize)]
pub(super) struct WatchReply {
  pub(super) events: Vec<Item>,
  #[serde(rename = "CurrentRev")]
  pub(super) store_revision: u64,
}

/// A fresh or renewed lease.
#[derive(Deserialize)]
pub(super) struct LeaseReply {
  #[serde(rename = "Lease", default)]
  pub(super) lease: u64,
}

/// A transaction that was carried out.
#[derive(Deserialize)]
pub(super) struct TransactionReply {
  #[serde(rename = "Revision")]
  pub(super) revision: u64,
}

/// Asks for a lease.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LeaseCall {
  pub(super) ttl: String,
}

/// Changes some keys, all or none.
#[derive(Default, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Transaction {
  pub(super) expected_rev: Vec<Expected>,
  pub(super) puts: Vec<Write>,
  pub(super) remove: Vec<String>,
}

/// The revision that a key must have; 0 where it must not exist.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Expected {
  pub(super) key: String,
  pub(super) revision: u64,
}

/// One key to write.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Write {
  key: String,
  /// 0 where the key goes with no lease.
  lease: u64,
  value: String,
}

impl Write {
  pub(super) fn new(key: &Key, lease: Option<LeaseId>, value: &str) -> Self {
    Self {
      key: key.to_string(),
      lease: lease.map_or(0, |lease| lease.0),
      value: BASE64_STANDARD.encode(value),
    }
  }
}

impl Item {
  /// The product's own form of the item, or what is wrong with it.
  pub(super) fn entry(&self) -> Result<Entry, String> {
    let bytes = BASE64_STANDARD.decode(&self.value);
    let bytes = bytes.map_err(|err| format!("{}: {err}", self.key))?;
    let value = String::from_utf8(bytes).map_err(|err| format!("{}: {err}", self.key))?;
    Ok(Entry { key: Key::of(&[&self.key]), revision: Revision(self.revision), value })
  }

  /// The product's own form of the change that the item stands for.
  pub(super) fn event(&self) -> Result<Event, String> {
    let entry = if self.tombstone { None } else { Some(self.entry()?) };
    Ok(Event { entry, key: Key::of(&[&self.key]), revision: Revision(self.revision) })
  }

  /// The key, from which the next page goes on.
  pub(super) fn key(&self) -> &str {
    &self.key
  }
}
