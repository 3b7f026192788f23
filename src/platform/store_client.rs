use super::*;

use std::iter;

use super::store_bodies::{
  Changes, Expected, LeaseReply, LeaseRequest, Page, Transaction, TransactionReply, Write,
};

/// A client of the platform's store.
pub struct StoreClient {
  inner: Rc<Inner>,
}

struct Inner {
  address: SocketAddr,
  /// The latest era seen in an answer; `None` before the first one.
  era: Cell<Option<Era>>,
  pool: Rc<web::Pool>,
  value_bytes_max: usize,
  waiter: Rc<AnswerWaiter>,
}

impl StoreClient {
  /// Creates a client of the store at `address`, which holds values of up to `value_bytes_max`
  /// bytes. The client waits at least `timeout_ms` milliseconds until an answer begins, and longer
  /// if recent answers were slower.
  pub fn new(address: SocketAddr, timeout_ms: u64, value_bytes_max: usize) -> Self {
    let waiter = AnswerWaiter::new(timeout_ms);
    let pool = Rc::new(web::Pool::new(waiter.max_ms()));
    Self { inner: Rc::new(Inner { address, era: Cell::default(), pool, value_bytes_max, waiter }) }
  }
}

impl Store for StoreClient {
  fn call(&self, request: StoreRequest) -> LocalFuture<store::Result<Reply>> {
    let inner = self.inner.clone();
    Box::pin(async move {
      let reply = inner.call(request).await?;
      Ok(reply.with_era(inner.era()))
    })
  }

  fn era(&self) -> Era {
    self.inner.era()
  }
}

/// Bytes of an answer besides its values, such as keys and field names: enough for 500 items with
/// long keys.
const FRAME_BYTES: usize = 500 * 512;

/// Bytes of values in a page of a list, which the platform limits to "about 1 MB". One more value
/// may exceed it.
const PAGE_BYTES: usize = 1 << 20;

/// Milliseconds to wait before the next call if the store is overloaded.
const BUSY_RETRY_MS: u64 = 100;

/// The answer header with the store's era.
const ERA: &str = "store-era";

impl Inner {
  async fn call(&self, request: StoreRequest) -> store::Result<Reply> {
    match request {
      // The store has reused the counts of earlier eras for other writes.
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
        let call = LeaseRequest { ttl: DurationMs(ttl_ms).to_string() };
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

  /// Reads all pages. The revision is that of the first page, so that a watch from there reports
  /// changes made between the pages.
  async fn list(&self, prefix: &Key, stale: bool) -> store::Result<Reply> {
    let mut entries = Vec::new();
    let mut first_revision = None;
    let mut after = String::new();
    loop {
      let mut path = format!("/ferryyoke/kv-range?PathPrefix={prefix}");
      if !after.is_empty() {
        path = format!("{path}&after={}", percent_encode(&after));
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

  /// Sends a call and reads its answer. Converts the store's error statuses to typed errors.
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
    let (started, received, era_at_start) = (timer::now(), Cell::new(0), self.era.get());
    let exchanged = self.send(kind, request, wait_ms, &received).await;
    let (head, body) = exchanged
      .map_err(|err| kind.error_from(err, timer::now().saturating_sub(started), received.get()))?;
    self.update_era(&head.headers, era_at_start)?;
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

  /// Returns the latest era seen in an answer.
  fn era(&self) -> Era {
    self.era.get().unwrap_or_default()
  }

  /// Updates the latest era from an answer's headers. Fails if the answer belongs to an earlier
  /// era, because it is outdated, or if the era increased since the call started: the restore may
  /// have undone the call.
  fn update_era(&self, headers: &HeaderMap, era_at_start: Option<Era>) -> store::Result {
    let era =
      headers.get(ERA).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let Some(era) = era else {
      return Ok(());
    };
    let latest = self.era();
    if era < latest {
      let reason = format!("an answer of era {era}, and the store is in era {latest}");
      return Err(store::Error::Unknown { reason });
    }
    self.era.set(Some(era));
    if era_at_start.is_some_and(|era_at_start| era_at_start < era) {
      let reason = format!("the store came back from a copy meanwhile, in era {era}");
      return Err(store::Error::Unknown { reason });
    }
    Ok(())
  }

  /// Sends a request and reads its answer. Counts the bytes of the body in `received`.
  async fn send(
    &self,
    kind: CallKind,
    request: Request<AnyBody>,
    wait_ms: u64,
    received: &Cell<usize>,
  ) -> web::Result<(http::response::Parts, Bytes)> {
    let (address, pool) = (self.address, self.pool.clone());
    let answer = async move {
      let client = pool.checkout(address).await?;
      pool.send(client, request, None).await
    };
    let answer = self.waiter.await_head(kind, wait_ms, answer).await?;
    let (head, body) = answer.into_parts();
    let limits = self.waiter.body_limits(self.answer_bytes_max(kind));
    Ok((head, web::collect_within_limits(body, limits, received).await?))
  }

  /// Returns the maximum size of an answer in bytes. The answer to a watch has room for one value
  /// of the maximum size. If it holds more, the client reads only the latest value, which costs a
  /// slow link less.
  fn answer_bytes_max(&self, kind: CallKind) -> usize {
    let value_bytes = match kind {
      CallKind::Watch => self.value_bytes_max,
      CallKind::Lease | CallKind::Read | CallKind::Write => self.value_bytes_max + PAGE_BYTES,
    };
    value_bytes.div_ceil(3) * 4 + FRAME_BYTES
  }
}

/// Returns the writes of a transaction for one item: the item, and the operators' status if it is a
/// rollout record.
fn writes(key: &Key, lease: Option<LeaseId>, value: &str) -> Vec<Write> {
  let status = rollout_status::operator_status(key, value);
  iter::once(Write::new(key, lease, value)).chain(status).collect()
}

/// Percent-encodes a key for a query. Keys of other writers may hold any character.
fn percent_encode(key: &str) -> String {
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
