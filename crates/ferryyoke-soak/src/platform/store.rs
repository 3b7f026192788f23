use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// A stand-in of the platform's store.
pub struct StoreServer {
  /// Where it listens.
  pub address: SocketAddr,
  state: Rc<RefCell<State>>,
}

/// What the store does wrong at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
  /// Milliseconds by which every answer is late.
  pub delay_ms: Ms,
  /// Serve nobody.
  pub down: bool,
  /// Milliseconds until a write whose answer is lost is carried out.
  pub late_ms: Ms,
  /// Lose the answers of this many of the next writes.
  pub lost_writes: u32,
}

/// Fields of an item as the store writes them.
pub type Fields = serde_json::Map<String, serde_json::Value>;

struct State {
  clock: Instant,
  /// What the store may come back with when it goes back, oldest first.
  copies: VecDeque<(Instant, Keyspace)>,
  /// How often it went back.
  era: u64,
  faults: StoreFaults,
  /// What another writer left in place of an item's usual fields, by key and revision.
  foreign: BTreeMap<(Key, Revision), Fields>,
  keyspace: Keyspace,
}

impl StoreServer {
  /// Copies that are kept: of ten seconds.
  const COPIES_MAX: usize = 100;
  /// Milliseconds between two copies.
  const COPY_MS: Ms = 100;
  /// Milliseconds between two looks of a waiting watch.
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

  /// Changes what the store does wrong.
  pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
    change(&mut self.state.borrow_mut().faults);
  }

  /// Forgets what watches could go on from.
  pub fn forget(&self) {
    self.state.borrow_mut().keyspace.compact();
  }

  /// Keeps a copy of all that it holds.
  pub fn keep_copy(&self) {
    let mut state = self.state.borrow_mut();
    let copy = (Instant::now(), state.keyspace.clone());
    state.copies.push_back(copy);
    if state.copies.len() > Self::COPIES_MAX {
      state.copies.pop_front();
    }
  }

  /// Keeps copies from now on, for as long as the run lasts.
  pub fn keep_copies(self: &Rc<Self>) {
    let keeping = self.clone();
    monoio::spawn(async move {
      loop {
        keeping.keep_copy();
        monoio::time::sleep(Duration::from_millis(Self::COPY_MS)).await;
      }
    });
  }

  /// Is away for a while and comes back from the newest copy of that age, or from the newest of all: what was
  /// acknowledged since is gone, and revisions and numbers of leases are given out again.
  pub async fn go_back(&self, age_ms: Option<Ms>, away_ms: Ms) {
    self.set_faults(|faults| faults.down = true);
    monoio::time::sleep(Duration::from_millis(away_ms)).await;
    self.state.borrow_mut().go_back(Duration::from_millis(age_ms.unwrap_or_default()));
  }

  /// Whether it holds an item of that key.
  pub fn holds(&self, key: &str) -> bool {
    let read = self.state.borrow_mut().call(&StoreRequest::Read { key: Key::of(&[key]) });
    matches!(read, Ok(Reply::Entry { entry: Some(_), .. }))
  }

  /// Ends all leases.
  pub fn lapse(&self) {
    self.state.borrow_mut().keyspace.expire_all_leases();
  }

  /// The operators put a configuration in.
  pub fn accept(&self, configuration: String) -> Result {
    self.state.borrow_mut().put(Key::of(&["op", "config"]), configuration).map(drop)
  }

  /// Whether what stands at a key is another writer's.
  pub fn is_foreign(&self, key: &str) -> bool {
    let (key, mut state) = (Key::of(&[key]), self.state.borrow_mut());
    match state.call(&StoreRequest::Read { key }) {
      Ok(Reply::Entry { entry: Some(entry), .. }) => {
        state.foreign.contains_key(&(entry.key, entry.revision))
      }
      _ => false,
    }
  }

  /// Another writer puts an item in, some of whose fields differ from those of a whole one. Null stands for
  /// a field that it lacks.
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

/// Each answer tells in which era it was given.
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
    return web::text(StatusCode::BAD_REQUEST, "not a call of the store");
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

/// Carries out a write that nobody hears of, also where its caller gave up meanwhile.
async fn carry_out_later(state: Rc<RefCell<State>>, call: StoreRequest, late_ms: Ms) {
  monoio::time::sleep(Duration::from_millis(late_ms)).await;
  // Whether the store refuses it by then is nobody's concern either.
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
    let has_news = matches!(&reply, Reply::Changes { events, .. } if !events.is_empty());
    if has_news || started.elapsed() > Duration::from_millis(wait_ms) {
      return Ok(reply);
    }
    monoio::time::sleep(Duration::from_millis(StoreServer::LOOK_MS)).await;
  }
}

/// The query of a call.
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

/// The transactions that daemons send: one key to write, under a condition or not, or to remove.
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
