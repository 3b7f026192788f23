use super::*;

/// The difference between two versions of a configuration from a [`Source`]. Such versions have
/// gaps, and their objects carry no revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Patch {
  /// The version that the patch applies to.
  #[serde(rename = "b")]
  pub base: Version,
  /// The digest of the base version.
  #[serde(rename = "d")]
  pub base_digest: Digest,
  /// The digest of the resulting version.
  #[serde(rename = "n")]
  pub digest: Digest,
  /// The resulting version's limits on callers' requests.
  #[serde(rename = "l")]
  pub limits: Option<CallerLimits>,
  /// The resulting version's omissions.
  #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
  pub omissions: Vec<Omission>,
  /// The changes to objects.
  #[serde(rename = "o")]
  pub operations: Vec<Operation>,
  /// The resulting version.
  #[serde(rename = "v")]
  pub version: Version,
}

impl Patch {
  /// The revision of all objects that come from a source.
  pub const SOURCE_REVISION: Version = Version(0);

  /// The patch from `base` to `next`, each given with its digest.
  pub fn diff(base: (&Configuration, Digest), next: (&Configuration, Digest)) -> Self {
    let (base, base_digest) = base;
    let (next, digest) = next;
    let changed = next.object_names().into_iter().filter_map(|name| {
      let object = next.object(&name)?;
      (base.object(&name).as_ref() != Some(&object)).then_some(Operation::Put(object))
    });
    let gone = base.object_names().into_iter().filter(|name| next.object(name).is_none());
    let operations = changed.chain(gone.map(Operation::Delete)).collect();
    let (limits, version) = (next.limits, next.version);
    let omissions = next.omissions.clone();
    Self { base: base.version, base_digest, digest, limits, omissions, operations, version }
  }

  /// Applies the patch to `base`. Fails if an operation does, or if the digest differs.
  pub fn apply(&self, base: &Configuration) -> Result<Configuration> {
    let mut next = base.with_operations(Self::SOURCE_REVISION, &self.operations)?;
    next.limits = self.limits;
    next.omissions.clone_from(&self.omissions);
    next.version = self.version;
    if next.digest() != self.digest {
      return Err(Error::DigestMismatch { version: self.version });
    }
    Ok(next)
  }
}
