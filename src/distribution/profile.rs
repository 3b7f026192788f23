use super::*;

/// The operator's preferred trade-off between convergence time and control traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
  /// Moderate convergence time and control traffic.
  #[default]
  Balanced,
  /// Least control traffic.
  Frugal,
  /// Shortest convergence.
  Prompt,
}

impl Profile {
  /// All profiles.
  pub const ALL: [Self; 3] = [Self::Balanced, Self::Frugal, Self::Prompt];

  /// Returns the periods of the profile.
  pub fn timing(self) -> Timing {
    match self {
      Self::Balanced => Timing {
        heartbeat_ms: 3_000,
        lease_ttl_ms: 6_000,
        endpoint_delay_ms: 100,
        update_delay_ms: 50,
      },
      Self::Frugal => Timing {
        heartbeat_ms: 5_000,
        lease_ttl_ms: 9_000,
        endpoint_delay_ms: 500,
        update_delay_ms: 1_000,
      },
      Self::Prompt => Timing {
        heartbeat_ms: 2_000,
        lease_ttl_ms: 4_000,
        endpoint_delay_ms: 50,
        update_delay_ms: 0,
      },
    }
  }
}

impl Display for Profile {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Balanced => "balanced",
      Self::Frugal => "frugal",
      Self::Prompt => "prompt",
    })
  }
}

impl FromStr for Profile {
  type Err = String;

  fn from_str(text: &str) -> std::result::Result<Self, String> {
    let named = Self::ALL.into_iter().find(|profile| profile.to_string() == text);
    named.ok_or_else(|| format!("`{text}` is not a profile: give balanced, frugal or prompt"))
  }
}
