use super::*;

/// A body whose bytes count as held until it is dropped.
pub struct HeldBody {
  body: BytesMut,
  _reserved: ReservedBytes,
}

impl HeldBody {
  pub(super) fn new(body: BytesMut, reserved: ReservedBytes) -> Self {
    Self { body, _reserved: reserved }
  }
}

impl AsRef<[u8]> for HeldBody {
  fn as_ref(&self) -> &[u8] {
    &self.body
  }
}
