//! The bodies of the platform's store.

use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// One page of a list. The pages of one list are not read at one moment.
pub(super) struct Page {
  pub(super) has_more: bool,
  pub(super) items: Vec<Item>,
  pub(super) store_revision: Revision,
}

impl Page {
  /// Reads a page, or says why it is none.
  pub(super) fn read(body: &str) -> Result<Self, String> {
    let fields = Fields::of(body)?;
    let items = fields.items("items")?;
    let store_revision = store_revision(&fields, &items, Revision::default());
    Ok(Self { has_more: fields.get("HasMore")?, items, store_revision })
  }
}

/// What a watch saw.
pub(super) struct Changes {
  pub(super) items: Vec<Item>,
  pub(super) store_revision: Revision,
}

impl Changes {
  /// Reads what a watch that went on from a revision saw, or says why that cannot be read.
  pub(super) fn read(body: &str, after: Revision) -> Result<Self, String> {
    let fields = Fields::of(body)?;
    let items = fields.items("events")?;
    let store_revision = store_revision(&fields, &items, after);
    Ok(Self { items, store_revision })
  }
}

/// The store's revision, or where it cannot be read the newest one that the answer shows: a watch that goes on
/// from there may be told again, but misses nothing.
fn store_revision(fields: &Fields, items: &[Item], after: Revision) -> Revision {
  let shown = || items.iter().map(Item::revision).max().unwrap_or_default().max(after);
  fields.get::<u64>("CurrentRev").map_or_else(|_| shown(), Revision::from)
}

/// A fresh or renewed lease.
#[derive(Deserialize)]
pub(super) struct LeaseReply {
  #[serde(rename = "Lease")]
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
