use super::*;

/// When something was wrong from outside: at one box, or at the store.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
  /// Spans, each with its end once that is known.
  spans: Vec<(Ms, Option<Ms>)>,
}

impl Trouble {
  /// Trouble that lasts until [`Trouble::end`].
  pub fn begin(&mut self, now: Ms) -> usize {
    self.spans.push((now, None));
    self.spans.len() - 1
  }

  /// The end of trouble that began.
  pub fn end(&mut self, span: usize, now: Ms) {
    self.spans[span].1 = Some(now);
  }

  /// Trouble at one moment.
  pub fn touch(&mut self, now: Ms) {
    self.spans.push((now, Some(now)));
  }

  /// Whether there was trouble at any time from `from` to `to`.
  pub fn overlaps(&self, from: Ms, to: Ms) -> bool {
    self.spans.iter().any(|(begin, end)| *begin <= to && end.is_none_or(|end| end >= from))
  }
}
