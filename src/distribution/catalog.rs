use super::*;

/// The configuration that a daemon holds, with the history needed to build updates for neighbours.
///
/// The held version never decreases, and an update is applied completely or not at all.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
  configuration: Option<Arc<Configuration>>,
  digest: Option<Digest>,
  /// The lowest version that this box may apply.
  floor: Version,
  /// The newest changes, oldest first; if not empty, the last one leads to the held version.
  history: Vec<ChangeSummary>,
  /// The last patches, oldest first, each based on the previous one's version; if not empty, the
  /// last one leads to the held version.
  patches: VecDeque<Patch>,
  /// Cached packed updates to the held version, by the version that they start from.
  packed: Vec<(Option<(Version, u32)>, PackedUpdate)>,
  /// The sources of the last versions, oldest first.
  provenance: VecDeque<Provenance>,
  /// The last refused updates, oldest first, each with its time in milliseconds since 1970.
  refusals: VecDeque<(u64, Error)>,
  /// The last changes, oldest first, without gaps; if not empty, the last one leads to the held
  /// version.
  window: VecDeque<AcceptedChange>,
  /// The version that the first of these changes starts from, with its digest.
  window_base: Option<(Version, Digest)>,
}

impl Catalog {
  /// Packed updates in the cache: most neighbours hold no version or one of the last few.
  const PACKED_MAX: usize = 4;
  /// Patches retained for neighbours that are a few versions behind.
  const PATCHES_MAX: usize = 16;
  /// Refusals, and sources of versions, retained.
  const RECORDS_MAX: usize = 64;
  /// Changes retained to build deltas.
  const WINDOW_MAX: usize = 64;

  /// Returns the held configuration.
  pub fn configuration(&self) -> Option<&Arc<Configuration>> {
    self.configuration.as_ref()
  }

  /// Returns the digest of the held configuration.
  pub fn digest(&self) -> Option<Digest> {
    self.digest
  }

  /// Returns the lowest version that this box may apply.
  pub fn floor(&self) -> Version {
    self.floor
  }

  /// Returns the newest changes that led to the held version, oldest first.
  pub fn history(&self) -> &[ChangeSummary] {
    &self.history
  }

  /// Returns the held version with the prefix of its digest.
  pub fn held(&self) -> Option<(Version, u32)> {
    Some((self.version()?, self.digest?.prefix()))
  }

  /// Returns the sources of the last versions, oldest first.
  pub fn provenance(&self) -> impl Iterator<Item = &Provenance> {
    self.provenance.iter()
  }

  /// Raises the floor to at least `floor`; never lowers it.
  pub fn raise_floor(&mut self, floor: Version) {
    self.floor = self.floor.max(floor);
  }

  /// Returns the last refused updates, oldest first, each with its time in milliseconds since 1970.
  pub fn refusals(&self) -> impl Iterator<Item = &(u64, Error)> {
    self.refusals.iter()
  }

  /// Records a refused update, for operators who ask why a box holds its version.
  pub fn record_refusal(&mut self, unix_ms: u64, err: Error) {
    push_bounded(&mut self.refusals, (unix_ms, err), Self::RECORDS_MAX);
  }

  /// Applies an update, or changes nothing and returns the reason. Refusals are recorded, except
  /// of the version already held.
  pub fn apply_update(&mut self, update: Update, from: Option<BoxId>, unix_ms: u64) -> Result {
    let offered = update.version();
    let outcome = self.check_forward(offered).and_then(|()| match update {
      Update::Delta { base, base_digest, changes } => self.take_delta(base, base_digest, changes),
      Update::Patches(patches) => self.take_patches(patches),
      Update::Snapshot { changes, configuration, digest, history } => {
        self.take_snapshot(configuration, digest, history, changes)
      }
    });
    if let Err(err) = outcome {
      if matches!(err, Error::Backwards { held, offered } if held == offered) {
        return Err(err);
      }
      self.record_refusal(unix_ms, err.clone());
      return Err(err);
    }
    let provenance = Provenance { applied_unix_ms: unix_ms, from, version: offered };
    push_bounded(&mut self.provenance, provenance, Self::RECORDS_MAX);
    Ok(())
  }

  fn check_forward(&self, offered: Version) -> Result {
    if let Some(held) = self.version().filter(|held| offered <= *held) {
      return Err(Error::Backwards { held, offered });
    }
    if offered < self.floor {
      return Err(Error::BelowFloor { floor: self.floor, offered });
    }
    Ok(())
  }

  /// Applies all patches or none; after a partial application the held version would not be the one
  /// in force.
  fn take_patches(&mut self, patches: Vec<Patch>) -> Result {
    let known = self.version().unwrap_or_default();
    let mut held = self.configuration.clone().zip(self.digest);
    let mut steps = Vec::new();
    for patch in patches.into_iter().filter(|patch| patch.version > known) {
      let (next, digest) = follow_patch(held, &patch)?;
      held = Some((next.clone(), digest));
      steps.push((patch, next, digest));
    }
    for (patch, next, digest) in steps {
      self.remember_patch(patch);
      self.switch(next, digest, Vec::new());
    }
    Ok(())
  }

  /// Applies a whole version from a source, and retains the patch from the held version to it.
  pub fn apply_whole(&mut self, configuration: Configuration, unix_ms: u64) -> Result {
    let version = configuration.version;
    let checked = self.check_forward(version).and_then(|()| Ok(configuration.validate()?));
    if let Err(err) = checked {
      self.record_refusal(unix_ms, err.clone());
      return Err(err);
    }
    let digest = configuration.digest();
    let held = self.configuration.clone().zip(self.digest);
    let patch =
      held.map(|(held, held_digest)| Patch::diff((&held, held_digest), (&configuration, digest)));
    match patch {
      Some(patch) => self.remember_patch(patch),
      None => self.patches.clear(),
    }
    self.switch(Arc::new(configuration), digest, Vec::new());
    let provenance = Provenance { applied_unix_ms: unix_ms, from: None, version };
    push_bounded(&mut self.provenance, provenance, Self::RECORDS_MAX);
    Ok(())
  }

  fn remember_patch(&mut self, patch: Patch) {
    // The individual changes that a patch combines are unknown, so no delta can span it.
    self.window.clear();
    self.window_base = None;
    if self.patches.back().is_some_and(|last| last.version != patch.base) {
      self.patches.clear();
    }
    push_bounded(&mut self.patches, patch, Self::PATCHES_MAX);
  }

  /// Returns the patches from a neighbour's version to the held one, if all are known and together
  /// no larger than the whole configuration. Several large patches in a row could otherwise exceed
  /// the size limit of a message.
  fn patches_from(&self, (base, prefix): (Version, u32)) -> Option<Update> {
    let first = self.patches.iter().position(|patch| patch.base == base)?;
    let is_same = self.patches[first].base_digest.prefix() == prefix;
    let ends_here = self.patches.back().map(|patch| patch.version) == self.version();
    let steps: usize = self.patches.iter().skip(first).map(|patch| patch.operations.len()).sum();
    let is_shorter = steps <= self.configuration.as_ref()?.object_count();
    let patches = || self.patches.iter().skip(first).cloned().collect();
    (is_same && ends_here && is_shorter).then(|| Update::Patches(patches()))
  }

  fn take_delta(
    &mut self,
    base: Version,
    base_digest: Digest,
    changes: Vec<AcceptedChange>,
  ) -> Result {
    let gap = Error::Gap { base, held: self.version() };
    let Some(held) = self.configuration.clone() else {
      return Err(gap);
    };
    if held.version != base {
      return Err(gap);
    }
    if self.digest != Some(base_digest) {
      return Err(Error::Fork { version: base });
    }
    let next = follow(held, &changes)?;
    next.validate()?;
    self.switch(next, base_digest, changes);
    Ok(())
  }

  fn take_snapshot(
    &mut self,
    configuration: Arc<Configuration>,
    digest: Digest,
    history: Vec<ChangeSummary>,
    changes: Vec<AcceptedChange>,
  ) -> Result {
    let version = configuration.version;
    if configuration.digest() != digest {
      return Err(configuration::Error::DigestMismatch { version }.into());
    }
    let next = follow(configuration, &changes)?;
    next.validate()?;
    self.history = history;
    self.window.clear();
    self.window_base = Some((version, digest));
    self.switch(next, digest, changes);
    Ok(())
  }

  /// Replaces the held configuration by a validated one. The held version changes only here.
  fn switch(
    &mut self,
    configuration: Arc<Configuration>,
    base_digest: Digest,
    changes: Vec<AcceptedChange>,
  ) {
    self.raise_floor(configuration.version);
    self.packed.clear();
    self.configuration = Some(configuration);
    self.digest = Some(changes.last().map_or(base_digest, |change| change.digest));
    for change in changes {
      self.history.push(change.summary.clone());
      self.remember(change);
    }
    let surplus = self.history.len().saturating_sub(Head::HISTORY_MAX);
    self.history.drain(..surplus);
  }

  fn remember(&mut self, change: AcceptedChange) {
    self.window.push_back(change);
    if self.window.len() > Self::WINDOW_MAX {
      self.window_base = self.window.pop_front().map(|old| (old.version(), old.digest));
    }
  }

  /// Returns the update from a neighbour's version `held` to this daemon's version: a delta or
  /// patches if they are known and no larger than the whole configuration, else a snapshot.
  pub fn update_for(&self, held: Option<(Version, u32)>) -> Option<Update> {
    let configuration = self.configuration.clone()?;
    let digest = self.digest?;
    if let Some(delta) = held.and_then(|held| self.delta_from(held, configuration.version)) {
      return Some(delta);
    }
    if let Some(patches) = held.and_then(|held| self.patches_from(held)) {
      return Some(patches);
    }
    let changes = Vec::new();
    let history = self.history.clone();
    Some(Update::Snapshot { changes, configuration, digest, history })
  }

  /// Returns the same update packed for the wire, cached for neighbours with the same version.
  pub fn packed_for(&mut self, held: Option<(Version, u32)>) -> Option<PackedUpdate> {
    if let Some((_, packed)) = self.packed.iter().find(|(base, _)| *base == held) {
      return Some(packed.clone());
    }
    let packed = PackedUpdate::pack(&self.update_for(held)?);
    if self.packed.len() == Self::PACKED_MAX {
      self.packed.remove(0);
    }
    self.packed.push((held, packed.clone()));
    Some(packed)
  }

  fn delta_from(&self, (base, prefix): (Version, u32), newest: Version) -> Option<Update> {
    let made = self.window.iter().map(|change| (change.version(), change.digest));
    let mut known = self.window_base.into_iter().chain(made);
    let (_, base_digest) = known.find(|(version, _)| *version == base && base < newest)?;
    if base_digest.prefix() != prefix {
      return None;
    }
    let changes: Vec<AcceptedChange> =
      self.window.iter().filter(|change| change.version() > base).cloned().collect();
    let steps: usize = changes.iter().map(|change| change.operations.len()).sum();
    if steps > self.configuration.as_ref()?.object_count() {
      return None;
    }
    Some(Update::Delta { base, base_digest, changes })
  }

  /// Returns the held version.
  pub fn version(&self) -> Option<Version> {
    self.configuration.as_ref().map(|configuration| configuration.version)
  }
}

/// Applies `patch` to the held version and validates the result.
fn follow_patch(
  held: Option<(Arc<Configuration>, Digest)>,
  patch: &Patch,
) -> Result<(Arc<Configuration>, Digest)> {
  let gap = Error::Gap { base: patch.base, held: held.as_ref().map(|(held, _)| held.version) };
  let Some((base, digest)) = held.filter(|(held, _)| held.version == patch.base) else {
    return Err(gap);
  };
  if digest != patch.base_digest {
    return Err(Error::Fork { version: patch.base });
  }
  let next = patch.apply(&base)?;
  next.validate()?;
  Ok((Arc::new(next), patch.digest))
}

/// Applies `changes` to `base`, each checked against its digest.
fn follow(base: Arc<Configuration>, changes: &[AcceptedChange]) -> Result<Arc<Configuration>> {
  let mut next = base;
  for change in changes {
    if change.version() != next.version.next() {
      return Err(Error::Gap { base: change.version(), held: Some(next.version) });
    }
    next = Arc::new(next.apply(change)?);
  }
  Ok(next)
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, max: usize) {
  if queue.len() == max {
    queue.pop_front();
  }
  queue.push_back(item);
}
