use super::*;

/// Identifies a request by its content, so that it is recognised when it is sent again under another id: eight bytes of
/// a digest, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
  /// Returns the fingerprint of the content with this digest: its first eight bytes.
  pub fn of(digest: &Digest) -> Self {
    let (first, _) = digest.as_bytes().split_at(8);
    Self(u64::from_be_bytes(first.try_into().expect("eight bytes")))
  }
}

impl Display for Fingerprint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{:016x}", self.0)
  }
}

impl FromStr for Fingerprint {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    let is_plain = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| is_plain);
    let found = || text.chars().take(80).collect();
    Ok(Self(number.ok_or_else(|| Error::Number { found: found(), kind: "fingerprint" })?))
  }
}
