use super::*;

use rustix::process::{Resource, getrlimit};

/// What the process may take of its machine. What it holds for its peers is bounded by a part of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
  /// Open descriptors. By default the limit of the process.
  pub descriptors: usize,
  /// Memory in bytes.
  pub memory_bytes: usize,
}

impl ProcessLimits {
  /// With fewer descriptors, the shares would leave too few for links, the store and the backend server.
  const DESCRIPTORS_MIN: u64 = 256;
  const DESCRIPTORS_CAP: u64 = 1 << 20;
  /// Memory in megabytes if the settings name none: that of a small machine.
  const MEMORY_DEFAULT_MB: u64 = 160;
  /// Below this, the configuration and a few requests would not fit.
  const MEMORY_MIN_MB: u64 = 64;
  const MEMORY_CAP_MB: u64 = 1 << 20;

  pub(super) fn read(node: &Node) -> Option<Self> {
    if node.is_present() {
      node.object(&["descriptors", "memory_mb"]);
    }
    let descriptors = node.field("descriptors");
    let descriptors = if descriptors.is_present() {
      descriptors.number(Self::DESCRIPTORS_MIN, Self::DESCRIPTORS_CAP)
    } else {
      Some(Self::own_descriptors())
    };
    let memory = node.field("memory_mb");
    let memory_mb =
      memory.number_or(Self::MEMORY_DEFAULT_MB, Self::MEMORY_MIN_MB, Self::MEMORY_CAP_MB);
    Some(Self {
      descriptors: usize::try_from(descriptors?).ok()?,
      memory_bytes: usize::try_from(memory_mb? << 20).ok()?,
    })
  }

  /// The limit of this process on open descriptors.
  fn own_descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(Self::DESCRIPTORS_CAP);
    limit.min(Self::DESCRIPTORS_CAP)
  }
}
