use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// A fake of the platform's store.
pub struct StoreServer {
  /// The address on which the store listens.
  pub address: SocketAddr,
  state: Rc<RefCell<State>>,
}

/// The injected faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
  /// Delay of every answer in milliseconds.
  pub delay_ms: Ms,
  /// Whether the store answers every call with 503.
  pub down: bool,
  /// Milliseconds after which a write whose answer is lost is applied.
  pub late_ms: Ms,
  /// How many of the next writes lose their answers.
  pub lost_writes: u32,
}

/// Fields of an item as the store sends them.
pub type Fields = serde_json::Map<String, serde_json::Value>;

struct State {
  clock: Instant,
  /// Copies from which the store can be restored, oldest first.
  copies: VecDeque<(Instant, Keyspace)>,
  /// How often the store was restored from a copy.
  era: u64,
  faults: StoreFaults,
  /// Fields that a foreign writer put in place of an item's valid ones, by key and revision.
  foreign: BTreeMap<(Key, Revision), Fields>,
  keyspace: Keyspace,
}

impl StoreServer {
  /// Maximum number of retained copies: those of ten seconds.
  const COPIES_MAX: usize = 100;
  /// Milliseconds between two copies.
  const COPY_MS: Ms = 100;
  /// Polling interval of a watch in milliseconds.
  const LOOK_MS: Ms = 10;

  /// Starts an empty store.
  pub fn start() -> Result<Self> {
    let listener = web::Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.address()?;
    let (clock, faults, keyspace) = (Instant::now(), StoreFaults::default(), Keyspace::default());
    let foreign = BTreeMap::new();
    let (copies, era) = (VecDeque::new(), 0);
    let state = Rc::new(RefCell::new(State { clock, copies, era, faults, foreign, keyspace }));
    let serving = state.clone();
    web::Server::start(listener, move |request| serve_in_era(serving.clone(), request));
    Ok(Self { address, state })
  }

  /// Changes the injected faults.
  pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
    change(&mut self.state.borrow_mut().faults);
  }

  /// Compacts the history, so that watches cannot resume from an earlier revision.
  pub fn forget(&self) {
    self.state.borrow_mut().keyspace.compact();
  }

  /// Retains a copy of the current content.
  pub fn keep_copy(&self) {
    let mut state = self.state.borrow_mut();
    let copy = (Instant::now(), state.keyspace.clone());
    state.copies.push_back(copy);
    if state.copies.len() > Self::COPIES_MAX {
      state.copies.pop_front();
    }
  }

  /// Retains a copy every [`Self::COPY_MS`] until the run ends.
  pub fn keep_copies(self: &Rc<Self>) {
    let keeping = self.clone();
    monoio::spawn(async move {
      loop {
        keeping.keep_copy();
        monoio::time::sleep(Duration::from_millis(Self::COPY_MS)).await;
      }
    });
  }

  /// Is down for `away_ms`, then restores the newest copy that is at least `age_ms` old (the oldest copy if all are
  /// younger, the newest without an age). Later acknowledged writes are lost, and revisions and lease ids are assigned
  /// again.
  pub async fn go_back(&self, age_ms: Option<Ms>, away_ms: Ms) {
    self.set_faults(|faults| faults.down = true);
    monoio::time::sleep(Duration::from_millis(away_ms)).await;
    self.state.borrow_mut().go_back(Duration::from_millis(age_ms.unwrap_or_default()));
  }

  /// Whether the store holds an item with that key.
  pub fn holds(&self, key: &str) -> bool {
    let read = self.state.borrow_mut().call(&StoreRequest::Read { key: Key::of(&[key]) });
    matches!(read, Ok(Reply::Entry { entry: Some(_), .. }))
  }

  /// Returns the value of the item at a key.
  pub fn value(&self, key: &str) -> Option<String> {
    let read = self.state.borrow_mut().call(&StoreRequest::Read { key: Key::of(&[key]) });
    match read {
      Ok(Reply::Entry { entry: Some(entry), .. }) => {
        entry.value.text().ok().map(ToString::to_string)
      }
      _ => None,
    }
  }

  /// Expires all leases.
  pub fn lapse(&self) {
    self.state.borrow_mut().keyspace.expire_all_leases();
  }

  /// Writes a configuration, as the operators do.
  pub fn accept(&self, configuration: String) -> Result {
    self.state.borrow_mut().put(Key::of(&["op", "config"]), configuration).map(drop)
  }

  /// Whether the item at a key was written by a foreign writer.
  pub fn is_foreign(&self, key: &str) -> bool {
    let (key, mut state) = (Key::of(&[key]), self.state.borrow_mut());
    match state.call(&StoreRequest::Read { key }) {
      Ok(Reply::Entry { entry: Some(entry), .. }) => {
        state.foreign.contains_key(&(entry.key, entry.revision))
      }
      _ => false,
    }
  }

  /// Writes an item as a foreign writer: `fields` replace those of a valid item, and a null field is omitted.
  ///
  /// Fails if the store refuses the write.
  pub fn write_foreign(&self, key: &str, fields: Fields) -> Result {
    let key = Key::of(&[key]);
    let mut state = self.state.borrow_mut();
    let revision = state.put(key.clone(), String::new())?;
    state.foreign.insert((key, revision), fields);
    Ok(())
  }
}

impl State {
  fn go_back(&mut self, age: Duration) {
    let is_old = |(made_at, _): &&(Instant, Keyspace)| made_at.elapsed() >= age;
    let copy = self.copies.iter().rev().find(is_old).or(self.copies.front());
    self.keyspace = copy.map(|(_, keyspace)| keyspace.clone()).unwrap_or_default();
    let revision = self.keyspace.revision();
    self.foreign.retain(|(_, written), _| *written <= revision);
    self.era += 1;
    self.faults.down = false;
  }

  fn call(&mut self, request: &StoreRequest) -> std::result::Result<Reply, Refusal> {
    let now = Time(u64::try_from(self.clock.elapsed().as_millis()).unwrap_or(u64::MAX));
    self.keyspace.call(now, request)
  }

  fn put(&mut self, key: Key, value: String) -> Result<Revision> {
    match self.call(&StoreRequest::Put { key, lease: None, value }) {
      Ok(Reply::Written { revision }) => Ok(revision),
      Ok(reply) => Err(Error::Unexpected(format!("{reply:?}"))),
      Err(refusal) => Err(Error::Unexpected(refusal.to_string())),
    }
  }

  fn item(&self, entry: &Entry) -> serde_json::Value {
    let mut item = serde_json::json!({
      "Key": entry.key.to_string(), "Lease": 0, "Revision": entry.revision.count,
      "Value": BASE64_STANDARD.encode(entry.value.text().unwrap_or_default()),
    });
    let foreign = self.foreign.get(&(entry.key.clone(), entry.revision));
    for (name, field) in foreign.into_iter().flatten() {
      item[name] = field.clone();
    }
    if let Some(fields) = item.as_object_mut() {
      fields.retain(|_, field| !field.is_null());
    }
    item
  }

  fn event(&self, event: &Event) -> serde_json::Value {
    event.entry.as_ref().map_or_else(
      || {
        let key = event.key.to_string();
        serde_json::json!({ "Key": key, "Revision": event.revision.count, "Tombstone": true })
      },
      |entry| self.item(entry),
    )
  }

  fn answer(&self, result: std::result::Result<Reply, Refusal>) -> Response<AnyBody> {
    let body = match result {
      Ok(Reply::Changes { events, revision }) => serde_json::json!({
        "CurrentRev": revision.count,
        "events": events.iter().map(|event| self.event(event)).collect::<Vec<_>>(),
      }),
      Ok(Reply::Done) => serde_json::json!({ "Revision": 0 }),
      Ok(Reply::Entries { entries, revision }) => serde_json::json!({
        "CurrentRev": revision.count, "HasMore": false,
        "items": entries.iter().map(|entry| self.item(entry)).collect::<Vec<_>>(),
      }),
      Ok(Reply::Entry { entry: Some(entry), revision }) => {
        let mut value = self.item(&entry);
        value["CurrentRev"] = revision.count.into();
        value
      }
      Ok(Reply::Lease { lease }) => serde_json::json!({ "Lease": lease.0, "Ttl": "15s" }),
      Ok(Reply::Written { revision }) => serde_json::json!({ "Revision": revision.count }),
      Ok(Reply::Entry { entry: None, .. }) | Err(Refusal::LeaseEnded) => {
        return web::text(StatusCode::NOT_FOUND, "no such key or lease");
      }
      Err(Refusal::Compacted) => return web::text(StatusCode::GONE, "that history is gone"),
      Err(Refusal::Exists | Refusal::RevisionMoved) => {
        return web::text(StatusCode::PRECONDITION_FAILED, "the condition does not hold");
      }
      Err(refusal) => return web::text(StatusCode::BAD_REQUEST, refusal.to_string()),
    };
    web::json(StatusCode::OK, &body)
  }
}

/// Adds the store's era to each answer.
async fn serve_in_era(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  let mut response = serve(state.clone(), request).await;
  response.headers_mut().insert("store-era", state.borrow().era.into());
  response
}

async fn serve(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  let faults = state.borrow().faults;
  monoio::time::sleep(Duration::from_millis(1 + faults.delay_ms)).await;
  if state.borrow().faults.down {
    return web::text(StatusCode::SERVICE_UNAVAILABLE, "down");
  }
  let path = request.uri().path().to_string();
  let query = Query::of(request.uri().query().unwrap_or_default());
  let Ok(body) = web::collect(request.into_body(), 4 << 20).await else {
    return web::text(StatusCode::PAYLOAD_TOO_LARGE, "too large");
  };
  let Some(call) = read(&path, &query, &body) else {
    return web::text(StatusCode::BAD_REQUEST, "unknown or invalid call");
  };
  if call.is_write() && state.borrow().faults.lost_writes > 0 {
    state.borrow_mut().faults.lost_writes -= 1;
    monoio::spawn(carry_out_later(state, call, faults.late_ms));
    return std::future::pending().await;
  }
  let result = if let StoreRequest::Watch { wait_ms, .. } = &call {
    watch(&state, &call, *wait_ms).await
  } else {
    state.borrow_mut().call(&call)
  };
  state.borrow().answer(result)
}

/// Applies a write without an answer, even if its caller has given up.
async fn carry_out_later(state: Rc<RefCell<State>>, call: StoreRequest, late_ms: Ms) {
  monoio::time::sleep(Duration::from_millis(late_ms)).await;
  // A refusal is ignored: the answer is lost in any case.
  let _ = state.borrow_mut().call(&call);
}

async fn watch(
  state: &Rc<RefCell<State>>,
  call: &StoreRequest,
  wait_ms: Ms,
) -> std::result::Result<Reply, Refusal> {
  let started = Instant::now();
  loop {
    let reply = state.borrow_mut().call(call)?;
    let has_changes = matches!(&reply, Reply::Changes { events, .. } if !events.is_empty());
    if has_changes || started.elapsed() > Duration::from_millis(wait_ms) {
      return Ok(reply);
    }
    monoio::time::sleep(Duration::from_millis(StoreServer::LOOK_MS)).await;
  }
}

/// The parsed query string of a call.
struct Query(BTreeMap<String, String>);

impl Query {
  fn of(text: &str) -> Self {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    Self(pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect())
  }

  fn key(&self, name: &str) -> Option<Key> {
    self.0.get(name).map(|text| Key::of(&[text]))
  }

  fn number(&self, name: &str) -> Option<u64> {
    self.0.get(name)?.parse().ok()
  }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Transaction {
  expected_rev: Vec<Expected>,
  puts: Vec<Put>,
  remove: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Expected {
  revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Put {
  key: String,
  lease: u64,
  value: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Grant {
  ttl: DurationText,
}

#[derive(Deserialize)]
struct DurationText(String);

fn read(path: &str, query: &Query, body: &[u8]) -> Option<StoreRequest> {
  let prefix = || query.key("PathPrefix");
  let lease = |text: &str| text.parse().ok().map(LeaseId);
  Some(match path.strip_prefix("/ferryyoke/kv-")? {
    "key" => StoreRequest::Read { key: query.key("Key")? },
    "range" => StoreRequest::List { prefix: prefix()? },
    "watch" => StoreRequest::Watch {
      after: Revision::from(query.number("after")?),
      prefix: prefix()?,
      wait_ms: query.number("WaitMs")?,
    },
    "lease" => {
      let grant: Grant = serde_json::from_slice(body).ok()?;
      let ttl: DurationMs = grant.ttl.0.parse().ok()?;
      StoreRequest::GrantLease { ttl_ms: ttl.0 }
    }
    "txn" => read_transaction(serde_json::from_slice(body).ok()?)?,
    other => match other.split_once('/')? {
      ("keep", id) => StoreRequest::RenewLease { lease: lease(id)? },
      ("lease-end", id) => StoreRequest::RevokeLease { lease: lease(id)? },
      _ => return None,
    },
  })
}

/// Reads a transaction as daemons send them: it writes one key, with or without a condition, or removes one.
fn read_transaction(transaction: Transaction) -> Option<StoreRequest> {
  if let Some(key) = transaction.remove.first() {
    return Some(StoreRequest::Delete { key: Key::of(&[key]) });
  }
  let put = transaction.puts.into_iter().next()?;
  let value = String::from_utf8(BASE64_STANDARD.decode(put.value).ok()?).ok()?;
  let key = Key::of(&[&put.key]);
  let lease = (put.lease > 0).then_some(LeaseId(put.lease));
  Some(match transaction.expected_rev.first().map(|expected| Revision::from(expected.revision)) {
    None => StoreRequest::Put { key, lease, value },
    Some(Revision { count: 0, .. }) => StoreRequest::Create { key, lease, value },
    Some(revision) => StoreRequest::CompareAndSwap { key, revision, value },
  })
}
