use super::*;

/// The requests that a fake backend server ran.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Journal {
  /// The maximum number of requests that ran at the same time.
  pub at_once_max: u32,
  /// The runs, in the order of their start.
  pub runs: Vec<Run>,
}
