use super::*;

use std::iter;

use super::store_bodies::{
  Changes, Expected, LeaseCall, LeaseReply, Page, Transaction, TransactionReply, Write,
};

/// The one client of the platform's store.
pub struct StoreClient {
  caller: Rc<Caller>,
}

struct Caller {
  address: SocketAddr,
  /// The newest era that an answer told of; nothing before the first one.
  era: Cell<Option<Era>>,
  pool: Rc<web::Pool>,
  value_bytes_max: usize,
  waiting: Rc<Waiting>,
}

impl StoreClient {
  /// A client of the store at `address`, which holds values of up to `value_bytes_max` bytes. It waits
  /// `timeout_ms` until an answer begins, and longer where answers lately took longer.
  pub fn new(address: SocketAddr, timeout_ms: u64, value_bytes_max: usize) -> Self {
    let waiting = Waiting::new(timeout_ms);
    let pool = Rc::new(web::Pool::new(waiting.cap_ms()));
    Self {
      caller: Rc::new(Caller { address, era: Cell::default(), pool, value_bytes_max, waiting }),
    }
  }
}

impl Store for StoreClient {
  fn call(&self, request: StoreRequest) -> LocalFuture<store::Result<Reply>> {
    let caller = self.caller.clone();
    Box::pin(async move {
      let reply = caller.call(request).await?;
      Ok(reply.of_era(caller.era()))
    })
  }

  fn era(&self) -> Era {
    self.caller.era()
  }
}

/// Bytes of keys, names and lengths around the values of an answer: 500 items of a long key each.
const FRAME_BYTES: usize = 500 * 512;

/// Bytes of values in a page of a list, to which one value may add itself: the platform's "about 1 MB".
const PAGE_BYTES: usize = 1 << 20;

/// Milliseconds after which to call again where the store refuses a call for its load.
const BUSY_RETRY_MS: u64 = 100;

/// The header by which each answer tells how often the store came back from a copy.
const ERA: &str = "store-era";

impl Caller {
  async fn call(&self, request: StoreRequest) -> store::Result<Reply> {
    match request {
      // Counts of an earlier era were given out again for other writes.
      StoreRequest::CompareAndSwap { revision, .. } if revision.era < self.era() => {
        Err(Refusal::RevisionMoved.into())
      }
      StoreRequest::Watch { after, .. } if after.era < self.era() => Err(Refusal::Compacted.into()),
      StoreRequest::CompareAndSwap { key, revision, value } => {
        let puts = writes(&key, None, &value);
        self.transact(Some((&key, revision.count)), puts, Vec::new()).await
      }
      StoreRequest::Create { key, lease, value } => {
        let puts = writes(&key, lease, &value);
        self.transact(Some((&key, 0)), puts, Vec::new()).await
      }
      StoreRequest::Delete { key } => {
        self.transact(None, Vec::new(), vec![key.to_string()]).await.map(|_| Reply::Done)
      }
      StoreRequest::GrantLease { ttl_ms } => {
        let call = LeaseCall { ttl: DurationMs(ttl_ms).to_string() };
        let (_, body) = self
          .exchange(CallKind::Lease, Method::POST, "/ferryyoke/kv-lease", Some(&call), 0)
          .await?;
        let granted: LeaseReply = decode(&body)?;
        Ok(Reply::Lease { lease: LeaseId(granted.lease) })
      }
      StoreRequest::List { prefix } => self.list(&prefix, false).await,
      StoreRequest::ListStale { prefix } => self.list(&prefix, true).await,
      StoreRequest::Put { key, lease, value } => {
        self.transact(None, vec![Write::new(&key, lease, &value)], Vec::new()).await
      }
      StoreRequest::Read { key } => self.read(&key).await,
      StoreRequest::RenewLease { lease } => {
        let path = format!("/ferryyoke/kv-keep/{lease}");
        self.exchange::<()>(CallKind::Lease, Method::POST, &path, None, 0).await?;
        Ok(Reply::Lease { lease })
      }
      StoreRequest::RevokeLease { lease } => {
        let path = format!("/ferryyoke/kv-lease-end/{lease}");
        self.exchange::<()>(CallKind::Lease, Method::DELETE, &path, None, 0).await?;
        Ok(Reply::Done)
      }
      StoreRequest::Watch { after, prefix, wait_ms } => self.watch(after, &prefix, wait_ms).await,
    }
  }

  async fn transact(
    &self,
    expected: Option<(&Key, u64)>,
    puts: Vec<Write>,
    remove: Vec<String>,
  ) -> store::Result<Reply> {
    let is_create = matches!(expected, Some((_, 0)));
    let expected_rev = expected
      .map(|(key, revision)| Expected { key: key.to_string(), revision })
      .into_iter()
      .collect();
    let call = Transaction { expected_rev, puts, remove };
    match self.exchange(CallKind::Write, Method::POST, "/ferryyoke/kv-txn", Some(&call), 0).await {
      Ok((_, body)) => {
        let done: TransactionReply = decode(&body)?;
        Ok(Reply::Written { revision: Revision::from(done.revision) })
      }
      Err(store::Error::Refused(Refusal::RevisionMoved)) if is_create => {
        Err(Refusal::Exists.into())
      }
      Err(err) => Err(err),
    }
  }

  async fn read(&self, key: &Key) -> store::Result<Reply> {
    let path = format!("/ferryyoke/kv-key?Key={key}");
    match self.exchange::<()>(CallKind::Read, Method::GET, &path, None, 0).await {
      Ok((_, body)) => {
        let body = String::from_utf8_lossy(&body);
        let fields = Fields::of(&body).map_err(malformed)?;
        let revision = Revision::from(fields.get::<u64>("CurrentRev").map_err(malformed)?);
        Ok(Reply::Entry { entry: Some(Item::of(&fields).into_entry()), revision })
      }
      Err(store::Error::Refused(Refusal::LeaseEnded)) => {
        Ok(Reply::Entry { entry: None, revision: Revision::default() })
      }
      Err(err) => Err(err),
    }
  }

  /// All pages. What changes between two of them is seen by a watch from the first one's revision.
  async fn list(&self, prefix: &Key, stale: bool) -> store::Result<Reply> {
    let mut entries = Vec::new();
    let mut first_revision = None;
    let mut after = String::new();
    loop {
      let mut path = format!("/ferryyoke/kv-range?PathPrefix={prefix}");
      if !after.is_empty() {
        path = format!("{path}&after={}", in_query(&after));
      }
      if stale {
        path = format!("{path}&AllowStale=1");
      }
      let (_, body) = self.exchange::<()>(CallKind::Read, Method::GET, &path, None, 0).await?;
      let page = Page::read(&String::from_utf8_lossy(&body)).map_err(malformed)?;
      let revision = *first_revision.get_or_insert(page.store_revision);
      let last = page.items.iter().map(Item::key).max().map(Key::to_string);
      entries.extend(page.items.into_iter().map(Item::into_entry));
      match last {
        Some(last) if page.has_more && last > after => after = last,
        _ => return Ok(Reply::Entries { entries, revision }),
      }
    }
  }

  async fn watch(&self, after: Revision, prefix: &Key, wait_ms: u64) -> store::Result<Reply> {
    let after_count = after.count;
    let path =
      format!("/ferryyoke/kv-watch?PathPrefix={prefix}&after={after_count}&WaitMs={wait_ms}");
    let (_, body) = self.exchange::<()>(CallKind::Watch, Method::GET, &path, None, wait_ms).await?;
    let seen = Changes::read(&String::from_utf8_lossy(&body), after).map_err(malformed)?;
    let events = seen.items.into_iter().map(Item::into_event).collect();
    Ok(Reply::Changes { events, revision: seen.store_revision })
  }

  /// One call and its answer; the statuses of the store become typed errors here.
  async fn exchange<T: Serialize>(
    &self,
    kind: CallKind,
    method: Method,
    path: &str,
    call: Option<&T>,
    wait_ms: u64,
  ) -> store::Result<(StatusCode, Bytes)> {
    let body = call.map_or_else(web::empty, |call| web::full(to_json(call)));
    let request = Request::builder()
      .method(method)
      .uri(path)
      .header(http::header::HOST, self.address.to_string())
      .header(http::header::CONTENT_TYPE, "application/json")
      .body(body)
      .map_err(|err| Refusal::Invalid { reason: err.to_string() })?;
    let (began, came, began_in) = (timer::now(), Cell::new(0), self.era.get());
    let exchanged = self.send(kind, request, wait_ms, &came).await;
    let (head, body) =
      exchanged.map_err(|err| kind.failure(err, timer::now().saturating_sub(began), came.get()))?;
    self.note_era(&head.headers, began_in)?;
    let status = head.status;
    match status.as_u16() {
      200..=299 => Ok((status, body)),
      404 => Err(Refusal::LeaseEnded.into()),
      410 => Err(Refusal::Compacted.into()),
      412 => Err(Refusal::RevisionMoved.into()),
      429 | 503 => Err(Refusal::TooMany { retry_after_ms: BUSY_RETRY_MS }.into()),
      400..=499 => {
        let reason = String::from_utf8_lossy(&body).chars().take(200).collect();
        Err(Refusal::Invalid { reason }.into())
      }
      _ => Err(store::Error::Unknown { reason: format!("{kind}: status {status}") }),
    }
  }

  /// The newest era that an answer told of.
  fn era(&self) -> Era {
    self.era.get().unwrap_or_default()
  }

  /// Notes the era of an answer to a call that began in another one, perhaps. What the store did of a call that
  /// was under way when it went back is not known; an answer of before says nothing of now.
  fn note_era(&self, headers: &HeaderMap, began_in: Option<Era>) -> store::Result {
    let told =
      headers.get(ERA).and_then(|told| told.to_str().ok()).and_then(|told| told.parse().ok());
    let Some(told) = told else {
      return Ok(());
    };
    let newest = self.era();
    if told < newest {
      let reason = format!("an answer of era {told}, and the store is in era {newest}");
      return Err(store::Error::Unknown { reason });
    }
    self.era.set(Some(told));
    if began_in.is_some_and(|began_in| began_in < told) {
      let reason = format!("the store came back from a copy meanwhile, in era {told}");
      return Err(store::Error::Unknown { reason });
    }
    Ok(())
  }

  /// Sends a request and reads its answer, whose bytes `came` counts.
  async fn send(
    &self,
    kind: CallKind,
    request: Request<AnyBody>,
    wait_ms: u64,
    came: &Cell<usize>,
  ) -> web::Result<(http::response::Parts, Bytes)> {
    let (address, pool) = (self.address, self.pool.clone());
    let answer = async move {
      let client = pool.checkout(address).await?;
      pool.send(client, request, None).await
    };
    let answer = self.waiting.until_begun(kind, wait_ms, answer).await?;
    let (head, body) = answer.into_parts();
    let limits = self.waiting.body_limits(self.answer_bytes_max(kind));
    Ok((head, web::collect_within_limits(body, limits, came).await?))
  }

  /// Largest answer in bytes. A watch may bring one value of any size: several large ones cost a narrow
  /// link more than the newest alone, which is read then.
  fn answer_bytes_max(&self, kind: CallKind) -> usize {
    let value_bytes = match kind {
      CallKind::Watch => self.value_bytes_max,
      CallKind::Lease | CallKind::Read | CallKind::Write => self.value_bytes_max + PAGE_BYTES,
    };
    value_bytes.div_ceil(3) * 4 + FRAME_BYTES
  }
}

/// What is written for an item, all or nothing.
fn writes(key: &Key, lease: Option<LeaseId>, value: &str) -> Vec<Write> {
  let beside = rollout_status::status_beside(key, value);
  iter::once(Write::new(key, lease, value)).chain(beside).collect()
}

/// A key as a part of a query. Another writer's may hold any character.
fn in_query(key: &str) -> String {
  let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
  let encode = |byte| if is_plain(byte) { char::from(byte).into() } else { format!("%{byte:02X}") };
  key.bytes().map(encode).collect()
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> store::Result<T> {
  serde_json::from_slice(body).map_err(malformed)
}

fn malformed(reason: impl Display) -> store::Error {
  store::Error::Unknown { reason: format!("malformed answer: {reason}") }
}
