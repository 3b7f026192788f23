//! A stand-in of the platform's store.

use std::{
  collections::BTreeMap,
  io::{self, BufReader, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{Arc, Condvar, Mutex},
  thread,
  time::{Duration, Instant},
};

use crate::{
  http::Head,
  json::{Value, base64, quoted},
};

#[derive(Clone)]
struct Item {
  lease: u64,
  revision: u64,
  value: String,
}

#[derive(Default)]
struct State {
  items: BTreeMap<String, Item>,
  leases: BTreeMap<u64, (Instant, Duration)>,
  lease_last: u64,
  log: Vec<(u64, String, Option<Item>)>,
  revision: u64,
}

#[derive(Clone, Default)]
pub struct Store {
  shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
  fn put(&mut self, key: &str, value: String, lease: u64) {
    self.revision += 1;
    let item = Item { lease, revision: self.revision, value };
    self.items.insert(key.into(), item.clone());
    self.log.push((self.revision, key.into(), Some(item)));
  }

  fn remove(&mut self, key: &str) {
    if self.items.remove(key).is_some() {
      self.revision += 1;
      self.log.push((self.revision, key.into(), None));
    }
  }

  fn end_lease(&mut self, lease: u64) {
    self.leases.remove(&lease);
    let held = self.items.iter().filter(|(_, item)| item.lease == lease);
    let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    for key in held {
      self.remove(&key);
    }
  }

  fn end_leases(&mut self) {
    let now = Instant::now();
    let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
    let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
    for lease in over {
      self.end_lease(lease);
    }
  }
}

fn written(key: &str, item: &Item) -> String {
  format!(
    "{{\"Key\":{},\"Value\":{},\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
    quoted(key),
    quoted(&item.value),
    item.revision,
    item.revision,
    item.lease
  )
}

fn queried(target: &str, name: &str) -> String {
  let query = target.split_once('?').map_or("", |(_, query)| query);
  let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
  let found = pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next();
  found.unwrap_or_default().replace("%2F", "/")
}

/// Milliseconds of a time such as `1500ms` or `1.5s`.
fn duration_ms(text: &str) -> u64 {
  match text.strip_suffix("ms") {
    Some(digits) => digits.parse::<f64>().unwrap_or_default() as u64,
    None => (text.trim_end_matches('s').parse::<f64>().unwrap_or_default() * 1_000.0) as u64,
  }
}

impl Store {
  pub fn start() -> io::Result<(Self, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let store = Self::default();
    let serving = store.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let store = serving.clone();
        thread::spawn(move || store.serve(stream));
      }
    });
    Ok((store, address))
  }

  /// Writes the operators' configuration. The time of the return is that of the confirmation.
  pub fn configure(&self, configuration: &str) {
    let (state, changed) = &*self.shared;
    state.lock().unwrap().put("op/config", base64(configuration.as_bytes()), 0);
    changed.notify_all();
  }

  fn serve(&self, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = Head::read(&mut reader)? {
      let body = head.body(&mut reader, false)?;
      let body = Value::parse(&String::from_utf8_lossy(&body)).unwrap_or(Value::Null);
      thread::sleep(Duration::from_millis(4));
      let (status, answer) = self.call(head.word(1), &body);
      let length = answer.len();
      let head = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
      );
      stream.write_all(&[head.as_bytes(), answer.as_bytes()].concat())?;
    }
    Ok(())
  }

  fn call(&self, target: &str, body: &Value) -> (u16, String) {
    let (state, changed) = &*self.shared;
    let mut state = state.lock().unwrap();
    state.end_leases();
    let path = target.split('?').next().unwrap_or_default();
    let answer = match path.trim_start_matches("/ferryyoke/kv-") {
      "key" => match state.items.get(&queried(target, "Key")) {
        Some(item) => {
          let item = written(&queried(target, "Key"), item);
          let item = item.trim_end_matches('}');
          (200, format!("{item},\"CurrentRev\":{}}}", state.revision))
        }
        None => (404, "{}".into()),
      },
      "range" => {
        let (prefix, after) = (queried(target, "PathPrefix"), queried(target, "after"));
        let inside = |key: &&String| key.starts_with(&prefix) && **key > after;
        let all: Vec<&String> = state.items.keys().filter(inside).collect();
        let page = all.iter().take(500).map(|key| written(key, &state.items[*key]));
        let items = page.collect::<Vec<_>>().join(",");
        let (more, revision) = (all.len() > 500, state.revision);
        (200, format!("{{\"items\":[{items}],\"HasMore\":{more},\"CurrentRev\":{revision}}}"))
      }
      "watch" => {
        let after = queried(target, "after").parse().unwrap_or_default();
        let wait_ms = queried(target, "WaitMs").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let prefix = queried(target, "PathPrefix");
        loop {
          let seen = |(revision, key, _): &&(u64, String, Option<Item>)| {
            *revision > after && key.starts_with(&prefix)
          };
          let events = state.log.iter().filter(seen).map(|(revision, key, item)| match item {
            Some(item) => written(key, item),
            None => {
              format!("{{\"Key\":{},\"Revision\":{revision},\"Tombstone\":true}}", quoted(key))
            }
          });
          let events: Vec<String> = events.collect();
          let left = until.saturating_duration_since(Instant::now());
          if !events.is_empty() || left.is_zero() {
            let (events, revision) = (events.join(","), state.revision);
            break (200, format!("{{\"events\":[{events}],\"CurrentRev\":{revision}}}"));
          }
          state = changed.wait_timeout(state, left).unwrap().0;
        }
      }
      "txn" => transact(&mut state, body),
      "lease" => {
        let ttl = Duration::from_millis(duration_ms(body.get("Ttl").text()));
        state.lease_last += 1;
        let lease = state.lease_last;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, format!("{{\"Lease\":{lease},\"Ttl\":\"{}ms\"}}", ttl.as_millis()))
      }
      other => {
        let (call, lease) = other.split_once('/').unwrap_or_default();
        let lease = lease.parse().unwrap_or_default();
        match state.leases.get(&lease).copied() {
          Some((_, ttl)) if call == "keep" => {
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (200, format!("{{\"Lease\":{lease},\"Ttl\":\"{}ms\"}}", ttl.as_millis()))
          }
          _ if call == "lease-end" => {
            state.end_lease(lease);
            (200, "{}".into())
          }
          _ => (404, "{}".into()),
        }
      }
    };
    drop(state);
    changed.notify_all();
    answer
  }
}

fn transact(state: &mut State, body: &Value) -> (u16, String) {
  for expected in body.get("ExpectedRev").list() {
    let key = expected.get("Key").text();
    let found = state.items.get(key);
    if found.map_or(0, |item| item.revision) != expected.get("Revision").number() {
      let item = found.map(|item| written(key, item)).unwrap_or_default();
      return (412, format!("{{\"items\":[{item}]}}"));
    }
  }
  for put in body.get("Puts").list() {
    let lease = put.get("Lease").number();
    if lease != 0 && !state.leases.contains_key(&lease) {
      return (404, "{}".into());
    }
  }
  for put in body.get("Puts").list() {
    let value = put.get("Value").text().to_string();
    state.put(put.get("Key").text(), value, put.get("Lease").number());
  }
  for key in body.get("Remove").list() {
    state.remove(key.text());
  }
  (200, format!("{{\"Revision\":{}}}", state.revision))
}
