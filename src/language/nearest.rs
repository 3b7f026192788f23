//! Suggestions for mistyped words.

/// Returns the word of `known` that is most similar to `found`, if its Jaro-Winkler similarity
/// reaches the minimum.
pub fn nearest<'a>(found: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
  const SIMILARITY_MIN: f64 = 0.75;
  let scored = known.map(|word| (strsim::jaro_winkler(found, word), word));
  let best = scored.max_by(|(score, _), (other, _)| score.total_cmp(other))?;
  (best.0 >= SIMILARITY_MIN).then(|| best.1.to_string())
}
