use super::*;

/// What recent runs of a route called at one service, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRow {
  /// Calls that failed, in percent.
  pub failed_percent: u32,
  /// Mean time of a call in microseconds.
  pub mean_us: u64,
  /// Thousandths of a call that a run makes.
  pub permille: u32,
  /// The called service.
  pub service: ServiceName,
  /// Calls that were under way together with an earlier one of their run, in percent.
  pub together_percent: u32,
}

impl Display for CallRow {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let Self { failed_percent, mean_us, permille, service, together_percent } = self;
    write!(
      f,
      "{permille} calls to {service} in 1,000 runs, {mean_us} us each, {failed_percent}% failed, \
       {together_percent}% together"
    )
  }
}
