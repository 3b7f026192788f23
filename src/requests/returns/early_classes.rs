use super::*;

/// Recognises classes most of whose refused requests return early in series.
///
/// The class of an organisation's callers is the organisation. Callers that name no class are not
/// judged together.
#[derive(Clone, Debug, Default)]
pub struct EarlyClasses {
  classes: BTreeMap<CallerClass, ClassConduct>,
}

/// Refused requests of one class that returned, each with a weight that halves each
/// [`EarlyClasses::HALF_LIFE_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct ClassConduct {
  as_told: f64,
  early: f64,
  noted_at: Time,
}

impl EarlyClasses {
  /// Classes that are remembered.
  const CLASSES_MAX: usize = 128;
  /// Weight of requests that return early in series from which a class counts as early: so many are
  /// not a single faulty caller.
  const EARLY_MIN: f64 = 4.0;
  /// Milliseconds in which a class that returns no more loses half of its weight: a few times the
  /// time that most callers wait.
  const HALF_LIFE_MS: f64 = 10_000.0;

  /// Records how the caller of a refused request returned. Where there are too many classes, the one
  /// that was noted longest ago is forgotten.
  pub fn note(&mut self, now: Time, class: &CallerClass, conduct: ReturnConduct) {
    if *class == CallerClass::unnamed() {
      return;
    }
    if !self.classes.contains_key(class) && self.classes.len() >= Self::CLASSES_MAX {
      let oldest = self.classes.iter().min_by_key(|(_, one)| one.noted_at);
      if let Some(oldest) = oldest.map(|(class, _)| class.clone()) {
        self.classes.remove(&oldest);
      }
    }
    let known = self.classes.get(class).map(|known| known.at(now)).unwrap_or_default();
    let noted = match conduct {
      ReturnConduct::AsTold => ClassConduct { as_told: known.as_told + 1.0, ..known },
      ReturnConduct::EarlySeries => ClassConduct { early: known.early + 1.0, ..known },
    };
    self.classes.insert(class.clone(), ClassConduct { noted_at: now, ..noted });
  }

  /// Whether several, and most, of the requests of a class that returned lately did so early and in
  /// series.
  pub fn is_early(&self, now: Time, class: &CallerClass) -> bool {
    let conduct = self.classes.get(class).map(|known| known.at(now));
    conduct.is_some_and(|one| one.early >= Self::EARLY_MIN && one.early > one.as_told)
  }
}

impl ClassConduct {
  /// Returns the weights at a later time.
  #[allow(clippy::cast_precision_loss)]
  fn at(self, now: Time) -> Self {
    let kept = (-(now.since_ms(self.noted_at) as f64) / EarlyClasses::HALF_LIFE_MS).exp2();
    Self { as_told: self.as_told * kept, early: self.early * kept, noted_at: now }
  }
}
