//! The label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
  /// The caller's class.
  pub class: String,
  /// How the request ended.
  pub outcome: String,
  /// The service.
  pub service: String,
}

/// Labels of large answers on the box's network link.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct BodyLabels {
  /// `under-way` or `waiting`.
  pub state: &'static str,
}

/// Labels of connections that ended for want of room.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EvictionLabels {
  /// Who connected.
  pub peer: String,
  /// `connections` or `memory`.
  pub short: String,
}

/// Labels of connections.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerLabels {
  /// Who connected.
  pub peer: String,
}

/// Labels of requests on their entry.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EntryLabels {
  /// `tried` or `refused`.
  pub decision: &'static str,
  /// The rank; 0 is served first.
  pub rank: u32,
  /// The service.
  pub service: String,
}

/// The labels of the return of a refused caller.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReturnLabels {
  /// `with-room`, `before-room` or `no-room`.
  pub plan: &'static str,
}

/// Labels of bytes sent and received on links.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ByteLabels {
  /// `received` or `sent`.
  pub direction: &'static str,
}

/// Labels of calls to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreLabels {
  /// `done`, `refused` or `unknown`.
  pub result: &'static str,
}

/// Labels of refused links.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LinkLabels {
  /// Why the link was refused.
  pub reason: &'static str,
}
