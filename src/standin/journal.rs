use super::*;

/// Everything that a stand-in backend server ran.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Journal {
  /// The most requests that ever ran at once.
  pub at_once_max: u32,
  /// The runs, in the order in which they started to run.
  pub runs: Vec<Run>,
}
