//! The platform's metadata store, as the users' PROTOCOL.md tells it, without faults.

use crate::http::{self, Message, Reader};
use crate::json::{quote, Json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
  value: String,
  revision: u64,
  created: u64,
  lease: u64,
}

#[derive(Default)]
struct State {
  revision: u64,
  items: BTreeMap<String, Item>,
  /// Each change: its revision, its key, and what it wrote; `None` for a removal.
  history: Vec<(u64, String, Option<Item>)>,
  leases: BTreeMap<u64, (Duration, Instant)>,
  last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
  state: Arc<(Mutex<State>, Condvar)>,
  pub address: SocketAddr,
}

impl State {
  fn put(&mut self, key: &str, value: &str, lease: u64) {
    let created = self.items.get(key).map_or(self.revision, |item| item.created);
    let item = Item { value: value.into(), revision: self.revision, created, lease };
    self.items.insert(key.into(), item.clone());
    self.history.push((self.revision, key.into(), Some(item)));
  }

  fn remove(&mut self, key: &str) {
    if self.items.remove(key).is_some() {
      self.history.push((self.revision, key.into(), None));
    }
  }

  /// Ends the leases that ran out, with their keys.
  fn expire(&mut self) -> bool {
    let now = Instant::now();
    let over: Vec<u64> =
      self.leases.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
    for id in &over {
      self.end_lease(*id);
    }
    !over.is_empty()
  }

  fn end_lease(&mut self, id: u64) {
    self.leases.remove(&id);
    let keys: Vec<String> =
      self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
    for key in keys {
      self.revision += 1;
      self.remove(&key);
    }
  }
}

fn shown(key: &str, item: &Item) -> String {
  format!(
    "{{\"Key\":{},\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
    quote(key),
    item.value,
    item.revision,
    item.created,
    item.lease
  )
}

impl Store {
  pub fn start() -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
    let address = listener.local_addr().expect("an address");
    let store = Store { state: Arc::default(), address };
    let serving = store.clone();
    std::thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let serving = serving.clone();
        std::thread::spawn(move || serving.serve(stream));
      }
    });
    let expiring = store.clone();
    std::thread::spawn(move || loop {
      std::thread::sleep(Duration::from_millis(50));
      if expiring.state.0.lock().unwrap().expire() {
        expiring.state.1.notify_all();
      }
    });
    store
  }

  /// Writes the operator's configuration.
  pub fn configure(&self, configuration: &str) {
    let mut state = self.state.0.lock().unwrap();
    state.revision += 1;
    let value = crate::json::base64(configuration.as_bytes());
    state.put("op/config", &value, 0);
    self.state.1.notify_all();
  }

  /// The keys that begin with a prefix.
  pub fn keys(&self, prefix: &str) -> Vec<String> {
    let state = self.state.0.lock().unwrap();
    state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
  }

  fn serve(&self, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
      let (status, body) = self.call(&request);
      let headers = [("Content-Type", "application/json")];
      if http::answer(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
        return;
      }
    }
  }

  fn call(&self, request: &Message) -> (&'static str, String) {
    let target = request.target();
    let path = target.split('?').next().unwrap_or("");
    let value = |name: &str| http::query(target, name).map(http::decoded).unwrap_or_default();
    let number = |name: &str| value(name).parse::<u64>().unwrap_or(0);
    let gone = || ("404 Not Found", "{}".to_string());
    match path.strip_prefix("/ferryyoke/kv-").unwrap_or("") {
      "key" => {
        let state = self.state.0.lock().unwrap();
        let key = value("Key");
        let Some(item) = state.items.get(&key) else {
          return gone();
        };
        let body = shown(&key, item);
        let body = format!("{},\"CurrentRev\":{}}}", &body[..body.len() - 1], state.revision);
        ("200 OK", body)
      }
      "range" => {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (value("PathPrefix"), value("after"));
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = found.map(|(key, item)| shown(key, item)).collect();
        let revision = state.revision;
        let body =
          format!("{{\"items\":[{}],\"HasMore\":false,\"CurrentRev\":{revision}}}", items.join(","));
        ("200 OK", body)
      }
      "watch" => self.watch(&value("PathPrefix"), number("after"), number("WaitMs")),
      "txn" => self.transact(&request.body),
      "lease" => {
        let call = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let ttl = duration(call.get("Ttl").text());
        let mut state = self.state.0.lock().unwrap();
        state.last_lease += 1;
        let id = 70_000 + state.last_lease;
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        ("200 OK", format!("{{\"Lease\":{id},\"Ttl\":\"{}ms\"}}", ttl.as_millis()))
      }
      other => {
        let (verb, id) = other.split_once('/').unwrap_or((other, ""));
        let id = id.parse().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        if !state.leases.contains_key(&id) {
          return gone();
        }
        if verb == "lease-end" {
          state.end_lease(id);
          self.state.1.notify_all();
        } else if let Some((ttl, until)) = state.leases.get_mut(&id) {
          *until = Instant::now() + *ttl;
        }
        ("200 OK", "{}".into())
      }
    }
  }

  fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
    let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut state = self.state.0.lock().unwrap();
    loop {
      let found = state.history.iter().filter(|one| one.0 > after && one.1.starts_with(prefix));
      let events: Vec<String> = found
        .map(|(revision, key, item)| match item {
          Some(item) => shown(key, item),
          None => format!("{{\"Key\":{},\"Revision\":{revision},\"Tombstone\":true}}", quote(key)),
        })
        .collect();
      let left = until.saturating_duration_since(Instant::now());
      if !events.is_empty() || left.is_zero() {
        let revision = state.revision;
        let body = format!("{{\"events\":[{}],\"CurrentRev\":{revision}}}", events.join(","));
        return ("200 OK", body);
      }
      state = self.state.1.wait_timeout(state, left).unwrap().0;
    }
  }

  fn transact(&self, body: &[u8]) -> (&'static str, String) {
    let call = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
    let mut state = self.state.0.lock().unwrap();
    let expected = call.get("ExpectedRev").list();
    let holds = |row: &Json| {
      let found = state.items.get(row.get("Key").text()).map_or(0, |item| item.revision);
      found == row.get("Revision").number()
    };
    if !expected.iter().all(holds) {
      let found = expected.iter().map(|row| row.get("Key").text());
      let items: Vec<String> =
        found.filter_map(|key| state.items.get(key).map(|item| shown(key, item))).collect();
      return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = call.get("Puts").list();
    let leased = puts.iter().map(|put| put.get("Lease").number()).filter(|lease| *lease > 0);
    if leased.into_iter().any(|lease| !state.leases.contains_key(&lease)) {
      return ("404 Not Found", "{}".into());
    }
    state.revision += 1;
    for put in puts {
      state.put(put.get("Key").text(), put.get("Value").text(), put.get("Lease").number());
    }
    for key in call.get("Remove").list() {
      state.remove(key.text());
    }
    self.state.1.notify_all();
    ("200 OK", format!("{{\"Revision\":{}}}", state.revision))
  }
}

fn duration(text: &str) -> Duration {
  let (number, unit) = match text.strip_suffix("ms") {
    Some(number) => (number, 0.001),
    None => (text.trim_end_matches('s'), 1.0),
  };
  Duration::from_secs_f64(number.parse::<f64>().unwrap_or(1.0) * unit)
}
