use super::*;

/// A BLAKE3 digest, written as 64 hexadecimal digits, or as 32 bytes in binary encodings.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

impl Digest {
  /// Returns the digest of `bytes`.
  pub fn of(bytes: &[u8]) -> Self {
    Self(blake3::hash(bytes).into())
  }

  /// Returns the 32 bytes.
  pub fn as_bytes(&self) -> &[u8] {
    &self.0
  }

  /// Returns the first four bytes as a number, for use where the digest is too long.
  pub fn prefix(&self) -> u32 {
    let (first, _) = self.0.split_at(4);
    u32::from_be_bytes(first.try_into().expect("four bytes"))
  }

  /// Returns the first eight digits, for display.
  pub fn short(&self) -> String {
    self.to_string()[..8].into()
  }
}

impl Display for Digest {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    blake3::Hash::from(self.0).to_hex().fmt(f)
  }
}

impl fmt::Debug for Digest {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&self.short())
  }
}

impl FromStr for Digest {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    let hash = blake3::Hash::from_hex(text)
      .map_err(|_| Error::Digest { found: text.chars().take(80).collect() })?;
    Ok(Self(hash.into()))
  }
}

impl Serialize for Digest {
  fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
      return serializer.collect_str(self);
    }
    serializer.serialize_bytes(&self.0)
  }
}

impl<'de> Deserialize<'de> for Digest {
  fn deserialize<D: serde::Deserializer<'de>>(
    deserializer: D,
  ) -> std::result::Result<Self, D::Error> {
    if deserializer.is_human_readable() {
      let text = String::deserialize(deserializer)?;
      return text.parse().map_err(serde::de::Error::custom);
    }
    deserializer.deserialize_bytes(BytesVisitor)
  }
}

struct BytesVisitor;

impl serde::de::Visitor<'_> for BytesVisitor {
  type Value = Digest;

  fn expecting(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str("32 bytes")
  }

  fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> std::result::Result<Digest, E> {
    let bytes = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
    Ok(Digest(bytes))
  }
}

impl From<blake3::Hasher> for Digest {
  fn from(hasher: blake3::Hasher) -> Self {
    Self(hasher.finalize().into())
  }
}

impl From<[u8; 32]> for Digest {
  fn from(bytes: [u8; 32]) -> Self {
    Self(bytes)
  }
}
