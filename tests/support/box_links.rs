//! Simulates the bandwidth of the boxes' network links, and the sizes of what they carry.

use {
  ferryyoke::{
    distribution::Message,
    store::{self, Reply, StoreRequest, Value},
    values::BoxId,
  },
  std::collections::BTreeMap,
};

/// A direction of a box's link.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Direction {
  Inward,
  Outward,
}

/// The network links of the boxes. Each direction of a link transmits messages one after the other,
/// in the order of sending.
#[derive(Default)]
pub struct BoxLinks {
  /// The default bandwidth of a link in each direction, in Mbit/s; 0 for unlimited.
  pub common_mbps: u32,
  /// The time in microseconds when each direction has transmitted everything sent so far.
  free_at_us: BTreeMap<(BoxId, Direction), u64>,
  own_mbps: BTreeMap<BoxId, u32>,
}

impl BoxLinks {
  /// Sets the bandwidth of one box's link in each direction, in Mbit/s.
  pub fn set(&mut self, box_id: BoxId, mbps: u32) {
    self.own_mbps.insert(box_id, mbps);
  }

  /// Returns the bandwidth of a box's link in each direction, in Mbit/s; 0 for unlimited.
  pub fn mbps(&self, box_id: &BoxId) -> u32 {
    self.own_mbps.get(box_id).copied().unwrap_or(self.common_mbps)
  }

  /// Returns whether the bandwidth of a box's link is limited.
  pub fn is_bound(&self, box_id: &BoxId) -> bool {
    self.mbps(box_id) != 0
  }

  /// Sends bytes over a link. Returns the time in microseconds when the last of them arrives.
  pub fn carry(&mut self, box_id: &BoxId, way: Direction, at_us: u64, bytes: usize) -> u64 {
    let mbps = u64::from(self.mbps(box_id));
    if mbps == 0 {
      return at_us;
    }
    let free_at_us = self.free_at_us.entry((box_id.clone(), way)).or_default();
    *free_at_us = at_us.max(*free_at_us) + (bytes as u64 * 8).div_ceil(mbps);
    *free_at_us
  }

  /// Drops everything in transit on the link of a box that ended.
  pub fn clear(&mut self, box_id: &BoxId) {
    self.free_at_us.retain(|(owner, _), _| owner != box_id);
  }
}

/// Returns the size in bytes of a message between boxes.
pub fn message_bytes(message: &Message) -> usize {
  let mut bytes = Vec::new();
  ciborium::into_writer(message, &mut bytes).expect("writing to memory does not fail");
  bytes.len()
}

/// Returns the size in bytes of a call to the store. Values are sent as base64.
pub fn request_bytes(request: &StoreRequest) -> usize {
  match request {
    StoreRequest::CompareAndSwap { value, .. }
    | StoreRequest::Create { value, .. }
    | StoreRequest::Put { value, .. } => base64_bytes(value),
    _ => 0,
  }
}

/// Returns the size in bytes of an answer of the store.
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
