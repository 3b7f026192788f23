use super::*;

/// Authenticates the frames of one direction of a link with a MAC.
///
/// Both sides count the frames, so that each is accepted only once and only in order.
pub struct FrameAuthenticator {
  key: [u8; 32],
  sequence: u64,
}

impl FrameAuthenticator {
  /// Bytes of the MAC before each payload.
  const MAC_BYTES: usize = 8;

  /// Starts with the first frame of a link.
  pub fn new(key: [u8; 32]) -> Self {
    Self { key, sequence: 0 }
  }

  fn next_mac(&mut self, payload: &[u8]) -> [u8; Self::MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&self.key);
    hasher.update(&self.sequence.to_be_bytes());
    hasher.update(payload);
    self.sequence += 1;
    let mut mac = [0; Self::MAC_BYTES];
    hasher.finalize_xof().fill(&mut mac);
    mac
  }

  /// Builds the next frame from its payload.
  pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
    [&self.next_mac(payload)[..], payload].concat()
  }

  /// Verifies the next frame and returns its payload.
  pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8]> {
    let (mac, payload) = frame.split_at_checked(Self::MAC_BYTES).ok_or(Error::Untrusted)?;
    let expected = self.next_mac(payload);
    if bool::from(subtle::ConstantTimeEq::ct_eq(&expected[..], mac)) {
      return Ok(payload);
    }
    Err(Error::Untrusted)
  }
}
