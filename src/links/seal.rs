use super::*;

/// Seals or opens the frames of one direction of a link.
///
/// Both sides count the frames, so that a frame is accepted only once and only in its place.
pub struct Seal {
  key: [u8; 32],
  sequence: u64,
}

impl Seal {
  /// Bytes of the code before each payload.
  const CODE_BYTES: usize = 8;

  /// A seal that starts with the first frame.
  pub fn new(key: [u8; 32]) -> Self {
    Self { key, sequence: 0 }
  }

  fn code(&mut self, payload: &[u8]) -> [u8; Self::CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&self.key);
    hasher.update(&self.sequence.to_be_bytes());
    hasher.update(payload);
    self.sequence += 1;
    let mut code = [0; Self::CODE_BYTES];
    hasher.finalize_xof().fill(&mut code);
    code
  }

  /// The next frame for a payload.
  pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
    [&self.code(payload)[..], payload].concat()
  }

  /// The payload of the next frame.
  pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8]> {
    let (code, payload) = frame.split_at_checked(Self::CODE_BYTES).ok_or(Error::Untrusted)?;
    let expected = self.code(payload);
    if bool::from(subtle::ConstantTimeEq::ct_eq(&expected[..], code)) {
      return Ok(payload);
    }
    Err(Error::Untrusted)
  }
}
