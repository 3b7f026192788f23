use super::*;

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnPlan {
  /// To come back as it would by itself. Room is expected or possible later, but before its
  /// deadline.
  BeforeRoom {
    /// Milliseconds after which it should come back.
    after_ms: u64,
  },
  /// That no room is expected before its deadline.
  NoRoom {
    /// Milliseconds until a time after its deadline.
    after_ms: u64,
  },
  /// To come back when room is expected for it.
  WithRoom {
    /// Milliseconds after which it should come back.
    after_ms: u64,
  },
}

impl ReturnPlan {
  /// Returns the milliseconds after which the caller is told to come back.
  pub fn after_ms(self) -> u64 {
    let (Self::WithRoom { after_ms } | Self::BeforeRoom { after_ms } | Self::NoRoom { after_ms }) =
      self;
    after_ms
  }

  /// Returns the name of the plan in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::WithRoom { .. } => "with-room",
      Self::BeforeRoom { .. } => "before-room",
      Self::NoRoom { .. } => "no-room",
    }
  }
}

impl Display for ReturnPlan {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::WithRoom { after_ms } => write!(f, "room for its return is expected in {after_ms} ms"),
      Self::BeforeRoom { after_ms } => {
        write!(f, "room may come before its deadline, but later than its return in {after_ms} ms")
      }
      Self::NoRoom { .. } => write!(f, "no room is expected before its deadline"),
    }
  }
}
