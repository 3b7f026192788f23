use super::*;

/// One request of a caller, and its outcome.
#[derive(Clone, Debug)]
pub struct Attempt {
  /// When the request ended.
  pub ended_ms: Ms,
  /// The request's id.
  pub id: String,
  /// The box to which the request was sent.
  pub index: usize,
  /// The kind of request.
  pub kind: Kind,
  /// The result that the caller saw.
  pub outcome: Outcome,
  /// What a refusal told.
  pub refusal: Option<Refused>,
  /// When the request was sent.
  pub sent_ms: Ms,
  /// The caller's timeout in milliseconds.
  pub time_left_ms: Ms,
}

/// What a daemon tells a caller that it refuses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Refused {
  /// Why.
  pub reason: String,
  /// When to come back, in milliseconds.
  pub retry_after_ms: Option<Ms>,
}

/// What a caller asks for. It may ask again after a refusal.
#[derive(Clone, Debug)]
pub struct Asked {
  /// The body.
  pub body: Bytes,
  /// Further headers.
  pub headers: Vec<(&'static str, String)>,
  /// The kind of request.
  pub kind: Kind,
  /// The method.
  pub method: Method,
  /// The path.
  pub path: String,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
  /// Idempotent: may run more than once.
  Read,
  /// Must run at most once.
  Send,
  /// Must run at most once, and is large.
  Upload,
}

/// The result of a request as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The backend server's complete answer.
  Answered,
  /// The connection ended before the answer was complete.
  Cut,
  /// A status that leaves open whether the request ran.
  Failed(u16),
  /// A status that guarantees that the request did not run.
  NotRun(u16),
  /// The connection failed, or the request was not sent.
  Unsent,
  /// An answer that doesn't belong to this request.
  Wrong(String),
}

impl Kind {
  /// All kinds, each repeated by its weight in the random choice.
  pub const ALL: [Self; 6] =
    [Self::Read, Self::Read, Self::Read, Self::Send, Self::Send, Self::Upload];

  /// Whether the request may run more than once.
  pub fn is_repeatable(self) -> bool {
    self == Self::Read
  }

  /// The path prefix of the kind's route.
  pub fn path(self) -> &'static str {
    match self {
      Self::Read => "/read/",
      Self::Send => "/send/",
      Self::Upload => "/upload/",
    }
  }

  /// Returns a request with a random body. The run of one read in four makes a call.
  pub fn ask(self, rng: &mut ChaCha8Rng) -> Asked {
    let (method, body) = self.request(rng);
    let path = format!("{}{}", self.path(), rng.random_range(0..100));
    let mut headers = vec![(platform::KEY, platform::key(rng.random_range(0..4)))];
    if self == Self::Read && rng.random_bool(0.25) {
      headers.push((platform::CALLS, "1".into()));
    }
    Asked { body, headers, kind: self, method, path }
  }

  /// Returns the method and a random body.
  pub fn request(self, rng: &mut ChaCha8Rng) -> (Method, Bytes) {
    let size = match self {
      Self::Read => return (Method::GET, Bytes::new()),
      Self::Send => rng.random_range(1..400),
      Self::Upload => rng.random_range(20_000..200_000),
    };
    (Method::POST, vec![rng.random(); size].into())
  }
}

/// Returns the body with which a backend server answers a request.
pub fn expected_answer(id: &str, body: &[u8]) -> String {
  format!("{id} {}", Digest::of(body))
}

/// Classifies an answer.
pub fn classify(id: &str, sent: &[u8], status: StatusCode, body: &[u8]) -> Outcome {
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
