use super::*;

/// What leads from one whole version to a later one, for configurations that come from a
/// [`Source`]: their versions have gaps, and their objects carry no revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Patch {
  /// The version that it starts from.
  #[serde(rename = "b")]
  pub base: Version,
  /// The digest of that version.
  #[serde(rename = "d")]
  pub base_digest: Digest,
  /// The digest of the version that it leads to.
  #[serde(rename = "n")]
  pub digest: Digest,
  /// What callers may send from then on.
  #[serde(rename = "l")]
  pub limits: Option<CallerLimits>,
  /// Objects that change.
  #[serde(rename = "o")]
  pub operations: Vec<Operation>,
  /// The version that it leads to.
  #[serde(rename = "v")]
  pub version: Version,
}

impl Patch {
  /// The revision of objects that come from a source.
  pub const REVISION: Version = Version(0);

  /// What leads from `base` to `next`, each with its digest.
  pub fn between(base: (&Configuration, Digest), next: (&Configuration, Digest)) -> Self {
    let (base, base_digest) = base;
    let (next, digest) = next;
    let changed = next.object_names().into_iter().filter_map(|name| {
      let object = next.object(&name)?;
      (base.object(&name).as_ref() != Some(&object)).then_some(Operation::Put(object))
    });
    let gone = base.object_names().into_iter().filter(|name| next.object(name).is_none());
    let operations = changed.chain(gone.map(Operation::Delete)).collect();
    let (limits, version) = (next.limits, next.version);
    Self { base: base.version, base_digest, digest, limits, operations, version }
  }

  /// The version that the patch makes of `base`, proved by its digest.
  pub fn apply(&self, base: &Configuration) -> Result<Configuration> {
    let mut next = base.after(Self::REVISION, &self.operations)?;
    next.limits = self.limits;
    next.version = self.version;
    if next.digest() != self.digest {
      return Err(Error::Digest { version: self.version });
    }
    Ok(next)
  }
}
