use super::*;

/// Digest of the key by which a caller proves its organisation. The key itself is in no configuration, log or answer of
/// a daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
  /// Prefix of the digested text, which separates these digests from those of other texts.
  const PURPOSE: &[u8] = b"ferryyoke key of an organisation\n";

  /// Returns the digest of a key.
  pub fn of(key: &[u8]) -> Self {
    Self(Digest::of(&[Self::PURPOSE, key].concat()))
  }
}

impl Display for KeyDigest {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for KeyDigest {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    text.parse().map(Self)
  }
}
