//! A fleet of real daemons with fakes of the platform, which tests control step by step.

#![allow(dead_code)]

pub mod crowd;

use {
  ferryyoke::web::{self, Pool},
  ferryyoke_soak::{
    Record, SoakBox,
    platform::{self, StoreServer},
  },
  http::{HeaderMap, Method, Request, StatusCode},
  serde_json::{Value, json},
  std::{
    cell::RefCell,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
  },
  tempfile::TempDir,
};

/// The callers' timeout in milliseconds.
pub const ANSWER_MS: u64 = 2_000;

/// Milliseconds within which a daemon's log lines are written.
const LOG_MS: u64 = 500;

/// Polling interval in milliseconds.
pub const LOOK_MS: u64 = 20;

/// The answer that a caller got.
#[derive(Debug)]
pub struct Answer {
  pub body: String,
  pub headers: HeaderMap,
  pub status: StatusCode,
}

impl Answer {
  pub fn header(&self, name: &str) -> &str {
    self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
  }

  pub fn is_served(&self) -> bool {
    self.status == StatusCode::OK
  }

  pub fn is_unknown(&self) -> bool {
    self.status == StatusCode::NOT_FOUND
  }
}

/// A store, and boxes whose daemons can be started one by one.
pub struct Fleet {
  pub boxes: Vec<SoakBox>,
  /// Holds settings and logs. Dropped after the daemons have ended.
  _directory: TempDir,
  /// The runs at the backend servers.
  pub record: Rc<RefCell<Record>>,
  pub store: StoreServer,
}

impl Fleet {
  pub fn prepare(boxes: usize) -> Self {
    let directory = tempfile::tempdir().expect("a directory");
    let store = StoreServer::start().expect("a store");
    let record = Rc::new(RefCell::new(Record::default()));
    let executable = Path::new(env!("CARGO_BIN_EXE_ferryyoke-soak"));
    let started = Instant::now();
    let prepare = |index| {
      SoakBox::prepare(index, directory.path(), executable, store.address, &record, started)
    };
    let boxes = (0..boxes).map(|index| prepare(index).expect("a box")).collect();
    Self { boxes, _directory: directory, record, store }
  }

  /// Starts all boxes, and waits until each serves with version 1 of the configuration.
  pub async fn serve(&self) {
    /// Upper limit in milliseconds for steps whose speed isn't under test.
    const MAX_WAIT_MS: u64 = 20_000;
    self.write(1, 0, "safe");
    (0..self.boxes.len()).for_each(|index| self.start(index));
    for index in 0..self.boxes.len() {
      self.ask_until(index, "/read/", soon(MAX_WAIT_MS), Answer::is_served).await;
    }
  }

  pub fn start(&self, index: usize) {
    self.boxes[index].start().expect("the daemon starts");
  }

  pub fn restart(&self, index: usize) {
    assert!(self.boxes[index].kill().expect("the daemon ends"), "box {index} was not running");
    self.start(index);
  }

  /// Writes a version of the configuration with `added` added routes, all of one kind.
  pub fn write(&self, version: u64, added: usize, added_kind: &str) {
    let text = platform::configuration(&SoakBox::SERVICES, added);
    let mut whole: Value = serde_json::from_str(&text).expect("JSON");
    whole["Version"] = json!(version);
    let routes = whole["Routes"].as_array_mut().expect("routes");
    let first_added = routes.len() - added;
    for route in &mut routes[first_added..] {
      route["Kind"] = json!(added_kind);
    }
    self.store.accept(whole.to_string()).expect("the store accepts it");
  }

  /// Writes an invalid version: an added route names a service that is not listed.
  pub fn write_unlisted(&self, version: u64) {
    let text = platform::configuration(&SoakBox::SERVICES, 1);
    let mut whole: Value = serde_json::from_str(&text).expect("JSON");
    whole["Version"] = json!(version);
    let added = whole["Routes"].as_array_mut().and_then(|routes| routes.last_mut());
    added.expect("a route")["Service"] = json!("nowhere");
    self.store.accept(whole.to_string()).expect("the store accepts it");
  }

  /// Writes a version of the configuration with a timeout for all routes.
  pub fn write_timeout(&self, version: u64, timeout: &str) {
    let text = platform::configuration(&SoakBox::SERVICES, 0);
    let mut whole: Value = serde_json::from_str(&text).expect("JSON");
    whole["Version"] = json!(version);
    for route in whole["Routes"].as_array_mut().expect("routes") {
      route["Timeout"] = json!(timeout);
    }
    self.store.accept(whole.to_string()).expect("the store accepts it");
  }

  /// Writes an item as a foreign writer: `fields` replace those of a valid item.
  pub fn write_foreign(&self, key: &str, fields: &Value) {
    let fields = fields.as_object().expect("fields").clone();
    self.store.write_foreign(key, fields).expect("the store accepts it");
  }

  /// Sends a request on a new connection.
  pub async fn ask(&self, index: usize, path: &str) -> Result<Answer, String> {
    self.send(index, Method::GET, path, &[]).await
  }

  /// Sends a request with further headers on a new connection.
  pub async fn send(
    &self,
    index: usize,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
  ) -> Result<Answer, String> {
    self.send_within(index, method, path, headers, ANSWER_MS).await
  }

  /// Sends a request whose caller waits for `left_ms`.
  pub async fn send_within(
    &self,
    index: usize,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    left_ms: u64,
  ) -> Result<Answer, String> {
    let mut request = Request::builder()
      .method(method)
      .uri(path)
      .header(http::header::HOST, "soak.example")
      .header(platform::TIME_LEFT_MS, left_ms);
    for (name, value) in headers {
      request = request.header(*name, *value);
    }
    let request = request.body(web::empty()).expect("a valid head");
    let pool = Rc::new(Pool::new(left_ms));
    let exchange = pool.exchange_whole(self.boxes[index].callers, request, 1 << 20);
    let answered = monoio::time::timeout(Duration::from_millis(2 * left_ms), exchange).await;
    let answered = answered.map_err(|_| "no answer in time".to_string())?;
    let (head, body) = answered.map_err(|err| err.to_string())?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { body, headers: head.headers, status: head.status })
  }

  /// Sends a request with a body to another address of a daemon. Returns the status of its answer.
  pub async fn send_to(
    &self,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
  ) -> Result<StatusCode, String> {
    self.exchange_with(address, method, path, body).await.map(|answer| answer.status)
  }

  /// Sends a request to another address of a daemon. Returns the text of its answer.
  pub async fn text_of(
    &self,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
  ) -> Result<String, String> {
    self.exchange_with(address, method, path, body).await.map(|answer| answer.body)
  }

  async fn exchange_with(
    &self,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
  ) -> Result<Answer, String> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header(http::header::HOST, address.to_string());
    let request = request.body(web::full(body)).expect("a valid head");
    let pool = Rc::new(Pool::new(ANSWER_MS));
    let exchange = pool.exchange_whole(address, request, 1 << 20);
    let answered = monoio::time::timeout(Duration::from_millis(ANSWER_MS), exchange).await;
    let answered = answered.map_err(|_| "no answer in time".to_string())?;
    let (head, body) = answered.map_err(|err| err.to_string())?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { body, headers: head.headers, status: head.status })
  }

  /// Repeats a GET request until `is_wanted` accepts an answer. Panics if none arrives before `until`.
  pub async fn ask_until(
    &self,
    index: usize,
    path: &str,
    until: Instant,
    is_wanted: impl Fn(&Answer) -> bool,
  ) {
    loop {
      let answer = self.ask(index, path).await;
      let is_late = Instant::now() > until;
      if !is_late && answer.as_ref().is_ok_and(&is_wanted) {
        return;
      }
      if is_late {
        let log = self.boxes[index].log();
        panic!(
          "box {index}, GET {path}, no expected answer in time, the last was: {answer:?}\n{log}"
        );
      }
      monoio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
  }

  /// Sends a single GET request. Panics unless `is_wanted` accepts the answer.
  pub async fn ask_once(&self, index: usize, path: &str, is_wanted: impl Fn(&Answer) -> bool) {
    let answer = self.ask(index, path).await;
    let is_right = answer.as_ref().is_ok_and(is_wanted);
    if is_right {
      return;
    }
    monoio::time::sleep(Duration::from_millis(LOG_MS)).await;
    let log = self.boxes[index].log();
    panic!("box {index}, GET {path}, unexpected answer: {answer:?}\n{log}");
  }
}

/// Runs a test on an event loop of its own.
pub fn run(test: impl Future<Output = ()>) {
  ferryyoke::commands::block_on(test).expect("an event loop");
}

/// Lets the event loop run for `ms`.
pub async fn pause_ms(ms: u64) {
  monoio::time::sleep(Duration::from_millis(ms)).await;
}

pub fn soon(ms: u64) -> Instant {
  Instant::now() + Duration::from_millis(ms)
}
