use super::*;

/// One request of a caller, and what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
  /// When it came to an end.
  pub ended_ms: Ms,
  /// Its id.
  pub id: String,
  /// The box at which it was sent.
  pub index: usize,
  /// What kind it is of.
  pub kind: Kind,
  /// What came of it.
  pub outcome: Outcome,
  /// When it was sent.
  pub sent_ms: Ms,
  /// Milliseconds that the caller waits.
  pub time_left_ms: Ms,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
  /// May run again.
  Read,
  /// Must run at most once.
  Send,
  /// Must run at most once, and is large.
  Upload,
}

/// What came of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// A whole answer of the backend server.
  Answered,
  /// The connection ended without a whole answer.
  Cut,
  /// A status that promises nothing.
  Failed(u16),
  /// A status that promises that it did not run.
  NotRun(u16),
  /// No connection came about, or the request was not sent.
  Unsent,
  /// An answer that is not the one to this request.
  Wrong(String),
}

impl Kind {
  /// The kinds, as often as they come.
  pub const ALL: [Self; 6] =
    [Self::Read, Self::Read, Self::Read, Self::Send, Self::Send, Self::Upload];

  /// Whether it may run more than once.
  pub fn is_repeatable(self) -> bool {
    self == Self::Read
  }

  /// The path of its route.
  pub fn path(self) -> &'static str {
    match self {
      Self::Read => "/read/",
      Self::Send => "/send/",
      Self::Upload => "/upload/",
    }
  }

  /// The method and the body.
  pub fn request(self, rng: &mut ChaCha8Rng) -> (Method, Bytes) {
    let size = match self {
      Self::Read => return (Method::GET, Bytes::new()),
      Self::Send => rng.random_range(1..400),
      Self::Upload => rng.random_range(20_000..200_000),
    };
    (Method::POST, vec![rng.random(); size].into())
  }
}

/// The body that a backend server answers to a request.
pub fn expected_answer(id: &str, body: &[u8]) -> String {
  format!("{id} {}", Digest::of(body))
}

/// What an answer means.
pub fn judge(id: &str, sent: &[u8], status: StatusCode, body: &[u8]) -> Outcome {
  match status.as_u16() {
    200..=299 if body == expected_answer(id, sent).as_bytes() => Outcome::Answered,
    200..=299 => {
      let text: String = String::from_utf8_lossy(body).chars().take(80).collect();
      Outcome::Wrong(format!("answered with {status} and `{text}`"))
    }
    status @ (408 | 421 | 429 | 503) => Outcome::NotRun(status),
    status => Outcome::Failed(status),
  }
}
