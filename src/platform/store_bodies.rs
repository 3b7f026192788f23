//! The request and response bodies of the platform's store.

use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// One page of a list. The pages of a list don't form a consistent snapshot.
pub(super) struct Page {
  pub(super) has_more: bool,
  pub(super) items: Vec<Item>,
  pub(super) store_revision: Revision,
}

impl Page {
  /// Parses a page.
  pub(super) fn read(body: &str) -> Result<Self, String> {
    let fields = Fields::of(body)?;
    let items = fields.items("items")?;
    let store_revision = store_revision(&fields, &items, Revision::default());
    Ok(Self { has_more: fields.get("HasMore")?, items, store_revision })
  }
}

/// The answer to a watch.
pub(super) struct Changes {
  pub(super) items: Vec<Item>,
  pub(super) store_revision: Revision,
}

impl Changes {
  /// Parses the answer to a watch that started after the revision `after`.
  pub(super) fn read(body: &str, after: Revision) -> Result<Self, String> {
    let fields = Fields::of(body)?;
    let items = fields.items("events")?;
    let store_revision = store_revision(&fields, &items, after);
    Ok(Self { items, store_revision })
  }
}

/// Returns the store's revision. If it is unreadable, returns the latest revision in the answer: a
/// watch from there may repeat changes but misses none.
fn store_revision(fields: &Fields, items: &[Item], after: Revision) -> Revision {
  let latest = || items.iter().map(Item::revision).max().unwrap_or_default().max(after);
  fields.get::<u64>("CurrentRev").map_or_else(|_| latest(), Revision::from)
}

/// The reply to a request for a lease.
#[derive(Deserialize)]
pub(super) struct LeaseReply {
  #[serde(rename = "Lease")]
  pub(super) lease: u64,
}

/// The reply to a transaction that was applied.
#[derive(Deserialize)]
pub(super) struct TransactionReply {
  #[serde(rename = "Revision")]
  pub(super) revision: u64,
}

/// A request for a lease.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LeaseRequest {
  pub(super) ttl: String,
}

/// An atomic change of several keys.
#[derive(Default, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Transaction {
  pub(super) expected_rev: Vec<Expected>,
  pub(super) puts: Vec<Write>,
  pub(super) remove: Vec<String>,
}

/// The expected revision of a key; 0 if the key must not exist.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Expected {
  pub(super) key: String,
  pub(super) revision: u64,
}

/// A write of one key.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Write {
  key: String,
  /// The lease that the key is bound to; 0 for none.
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
