//! `ferryyoke query`.

use super::*;

/// Interval in milliseconds between two polls of a rollout.
const POLL_MS: u64 = 250;

/// Size limit of an answer in bytes.
const ANSWER_BYTES_MAX: usize = 16 << 20;

struct Query {
  address: SocketAddr,
  change_id: Option<ChangeId>,
  is_json: bool,
  text: String,
  token: Option<String>,
}

/// Sends a script to a daemon and prints the answer.
pub fn query(matches: &ArgMatches) -> Result {
  let query = Query::read(matches)?;
  let timeout_ms = *matches.get_one::<u64>("timeout-ms").expect("it has a default");
  block_on(async {
    let limit = Duration::from_millis(timeout_ms);
    let executed = timer::timeout(limit, query.execute());
    executed.await.unwrap_or(Err(Error::Timeout))
  })?
}

impl Query {
  fn read(matches: &ArgMatches) -> Result<Self> {
    let text = matches.get_one::<String>("text").expect("the parser demands it");
    Ok(Self {
      address: *matches.get_one("admin").expect("it has a default"),
      change_id: matches.get_one("change-id").cloned(),
      is_json: matches.get_one::<String>("output").is_some_and(|output| output == "json"),
      text: if text == "-" {
        io::read_to_string(io::stdin()).map_err(Error::Input)?
      } else {
        text.clone()
      },
      token: Self::read_token(matches)?,
    })
  }

  fn read_token(matches: &ArgMatches) -> Result<Option<String>> {
    match matches.get_one::<PathBuf>("token-file") {
      Some(path) => {
        let token = fs::read_to_string(path).map_err(Error::Input)?;
        Ok(Some(token.trim().into()))
      }
      None => Ok(std::env::var("FERRYYOKE_TOKEN").ok()),
    }
  }

  async fn execute(&self) -> Result {
    let watched = self.text.trim().strip_prefix("watch ");
    if let Some(text) = watched {
      self.watch(text).await
    } else {
      let answer = self.send(&self.text).await?;
      self.print(&answer);
      if answer.outcome == AnswerOutcome::Done { Ok(()) } else { Err(Error::Refused) }
    }
  }

  /// Polls a rollout and shows its progress until every box applies the version.
  async fn watch(&self, text: &str) -> Result {
    loop {
      let answer = self.send(text).await?;
      if answer.outcome != AnswerOutcome::Done {
        self.print(&answer);
        return Err(Error::Refused);
      }
      let applies = answer.table.columns.iter().position(|column| column == "applies");
      let waiting = applies.is_some_and(|column| {
        answer.table.rows.iter().any(|row| row[column].as_str() == Some("no"))
      });
      if !waiting {
        self.print(&answer);
        return Ok(());
      }
      eprintln!("{}", answer.message);
      timer::sleep(Duration::from_millis(POLL_MS)).await;
    }
  }

  async fn send(&self, text: &str) -> Result<Answer> {
    let request = StatementRequest { change_id: self.change_id.clone(), text: text.into() };
    send_script(self.address, self.token.as_deref(), &request).await
  }

  fn print(&self, answer: &Answer) {
    if self.is_json {
      println!("{}", answer.to_json());
    } else {
      print!("{answer}");
    }
  }
}

/// Sends a script to the daemon at `address` and returns the answer.
pub async fn send_script(
  address: SocketAddr,
  token: Option<&str>,
  request: &StatementRequest,
) -> Result<Answer> {
  let failed = |reason: String| Error::Query { address, reason };
  let text = to_json(request);
  let mut post = Request::post("/v1/statements").header(http::header::HOST, address.to_string());
  if let Some(token) = token {
    post = post.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
  }
  let post = post.body(web::full(text)).map_err(|err| failed(err.to_string()))?;
  let pool = Rc::new(web::Pool::new(2_000));
  let exchanged = pool.exchange(address, post, ANSWER_BYTES_MAX).await;
  let (_, body) = exchanged.map_err(|err| failed(err.to_string()))?;
  serde_json::from_slice(&body).map_err(|err| failed(format!("malformed answer: {err}")))
}
