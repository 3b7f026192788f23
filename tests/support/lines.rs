//! What boxes' own links carry, and how long a message or an answer of the store takes on them.

use {
  ferryyoke::{
    distribution::Message,
    store::{self, Reply, StoreRequest, Value},
    values::BoxId,
  },
  std::collections::BTreeMap,
};

/// A direction of a box's own link.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Direction {
  Inward,
  Outward,
}

/// The boxes' own links. Whatever goes one way on one of them goes one after the other, in order of
/// sending.
#[derive(Default)]
pub struct Lines {
  /// What a link carries each way, in Mbit/s, where the box has no figure of its own; 0: no bound.
  pub common_mbps: u32,
  /// When each direction will have carried all that was put on it.
  free_at_us: BTreeMap<(BoxId, Direction), u64>,
  own_mbps: BTreeMap<BoxId, u32>,
}

impl Lines {
  /// Sets what one box's link carries each way.
  pub fn set(&mut self, box_id: BoxId, mbps: u32) {
    self.own_mbps.insert(box_id, mbps);
  }

  /// What a box's link carries each way; 0: no bound.
  pub fn mbps(&self, box_id: &BoxId) -> u32 {
    self.own_mbps.get(box_id).copied().unwrap_or(self.common_mbps)
  }

  /// Whether anything bounds what a box's link carries.
  pub fn is_bound(&self, box_id: &BoxId) -> bool {
    self.mbps(box_id) != 0
  }

  /// Puts bytes on a link, and returns when the last of them is through.
  pub fn carry(&mut self, box_id: &BoxId, way: Direction, at_us: u64, bytes: usize) -> u64 {
    let mbps = u64::from(self.mbps(box_id));
    if mbps == 0 {
      return at_us;
    }
    let free_at_us = self.free_at_us.entry((box_id.clone(), way)).or_default();
    *free_at_us = at_us.max(*free_at_us) + (bytes as u64 * 8).div_ceil(mbps);
    *free_at_us
  }

  /// A box ended: what it had not sent is lost, and nothing is on its way to it any more.
  pub fn clear(&mut self, box_id: &BoxId) {
    self.free_at_us.retain(|(owner, _), _| owner != box_id);
  }
}

/// Bytes of a message between boxes.
pub fn message_bytes(message: &Message) -> usize {
  let mut bytes = Vec::new();
  ciborium::into_writer(message, &mut bytes).expect("writing to memory does not fail");
  bytes.len()
}

/// Bytes of a call to the store. Values cross as base64.
pub fn request_bytes(request: &StoreRequest) -> usize {
  match request {
    StoreRequest::CompareAndSwap { value, .. }
    | StoreRequest::Create { value, .. }
    | StoreRequest::Put { value, .. } => base64_bytes(value),
    _ => 0,
  }
}

/// Bytes of an answer of the store.
pub fn answer_bytes(result: &store::Result<Reply>) -> usize {
  match result {
    Ok(Reply::Changes { events, .. }) => {
      events.iter().filter_map(|one| one.entry.as_ref()).map(|one| value_bytes(&one.value)).sum()
    }
    Ok(Reply::Entries { entries, .. }) => entries.iter().map(|one| value_bytes(&one.value)).sum(),
    Ok(Reply::Entry { entry: Some(entry), .. }) => value_bytes(&entry.value),
    _ => 0,
  }
}

fn value_bytes(value: &Value) -> usize {
  base64_bytes(value.text().unwrap_or_default())
}

fn base64_bytes(value: &str) -> usize {
  value.len() * 4 / 3
}
