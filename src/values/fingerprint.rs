use super::*;

/// Names a request by what its caller asks for, so that it is known again when it is sent anew under another id:
/// eight bytes of a digest, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
  /// The fingerprint of what a digest was made of.
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
