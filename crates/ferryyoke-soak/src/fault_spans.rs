use super::*;

/// Time spans of injected faults at one box or at the store.
#[derive(Clone, Debug, Default)]
pub struct FaultSpans {
  /// The beginning of each span, and its end once known.
  spans: Vec<(Ms, Option<Ms>)>,
}

impl FaultSpans {
  /// Begins a span that lasts until [`FaultSpans::end`]. Returns its index.
  pub fn begin(&mut self, now: Ms) -> usize {
    self.spans.push((now, None));
    self.spans.len() - 1
  }

  /// Ends a span that [`FaultSpans::begin`] began.
  pub fn end(&mut self, span: usize, now: Ms) {
    self.spans[span].1 = Some(now);
  }

  /// Records a fault without duration.
  pub fn add_moment(&mut self, now: Ms) {
    self.spans.push((now, Some(now)));
  }

  /// Whether any span overlaps the time from `from` to `to`.
  pub fn overlaps(&self, from: Ms, to: Ms) -> bool {
    self.spans.iter().any(|(begin, end)| *begin <= to && end.is_none_or(|end| end >= from))
  }
}
