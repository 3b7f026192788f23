//! Tests the client of the platform's store against a store that is slow, silent or sends large or
//! malformed answers.

mod support;

use {
  base64::{Engine, prelude::BASE64_STANDARD},
  ferryyoke::{
    platform::StoreClient,
    store::{self, Error, Key, Refusal, Reply, Revision, Store, StoreRequest, Value},
  },
  std::{cell::RefCell, net::SocketAddr, rc::Rc},
  support::scripted_store::{Step, head, run, store, whole},
};

/// The client's minimum timeout in milliseconds.
const FLOOR_MS: u64 = 100;

/// The maximum size of a value in bytes, unless a test sets another one.
const VALUE_BYTES_MAX: usize = 1 << 20;

fn item(revision: u64, value_bytes: usize) -> String {
  let value = BASE64_STANDARD.encode("v".repeat(value_bytes));
  format!("{{\"Key\":\"op/config\",\"Revision\":{revision},\"Value\":\"{value}\"}}")
}

fn page(value_bytes: usize) -> String {
  format!("{{\"items\":[{}],\"HasMore\":false,\"CurrentRev\":7}}", item(7, value_bytes))
}

fn changes(count: u64, value_bytes: usize) -> String {
  let items: Vec<String> = (1..=count).map(|revision| item(revision, value_bytes)).collect();
  format!("{{\"events\":[{}],\"CurrentRev\":{count}}}", items.join(","))
}

fn client(address: SocketAddr) -> StoreClient {
  StoreClient::new(address, FLOOR_MS, VALUE_BYTES_MAX)
}

fn key() -> Key {
  Key::of(&["op", "config"])
}

fn list() -> StoreRequest {
  StoreRequest::List { prefix: key() }
}

fn watch(wait_ms: u64) -> StoreRequest {
  StoreRequest::Watch { after: Revision::default(), prefix: key(), wait_ms }
}

/// Returns why a call failed.
fn reason(result: store::Result<Reply>) -> String {
  match result {
    Err(Error::Unknown { reason }) => reason,
    other => panic!("expected an unknown outcome: {other:?}"),
  }
}

#[test]
fn calls_to_a_store_slower_than_the_first_timeout_soon_succeed() {
  run(async {
    let address = store(|_| vec![Step::Wait(FLOOR_MS * 5 / 2), whole(&page(10))]);
    let client = client(address);
    let mut tries = 0;
    while client.call(list()).await.is_err() {
      tries += 1;
      assert!(tries < 4, "calls to a slow store keep failing");
    }
    // The client has measured the latency of the first answer.
    for _ in 0..3 {
      client.call(list()).await.expect("the timeout follows the latency of answers");
    }
  });
}

#[test]
fn a_slow_but_steady_body_is_read_to_its_end() {
  run(async {
    let address = store(|_| {
      let body = page(1_200).into_bytes();
      let pieces = body.chunks(body.len().div_ceil(12));
      let mut steps = vec![Step::Send(head(body.len()))];
      steps.extend(
        pieces.flat_map(|piece| [Step::Wait(FLOOR_MS * 4 / 5), Step::Send(piece.to_vec())]),
      );
      steps
    });
    let reply = client(address).call(list()).await.expect("bytes kept arriving");
    let Reply::Entries { entries, .. } = reply else {
      panic!("{reply:?}");
    };
    assert_eq!(entries[0].value.text().map(str::len), Ok(1_200));
  });
}

#[test]
fn a_stalled_body_times_out_and_the_error_names_the_received_bytes() {
  run(async {
    let address =
      store(|_| vec![Step::Send(head(1_000)), Step::Send(vec![b' '; 321]), Step::Wait(60_000)]);
    let reason = reason(client(address).call(list()).await);
    assert!(reason.contains("read"), "the kind of call is missing: {reason}");
    assert!(reason.contains("321 bytes"), "the received bytes are missing: {reason}");
  });
}

#[test]
fn an_endlessly_trickling_body_times_out() {
  run(async {
    let address = store(|_| {
      let mut steps = vec![Step::Send(head(1_000_000))];
      steps.extend((0..1_000_000).flat_map(|_| [Step::Send(vec![b' ']), Step::Wait(5)]));
      steps
    });
    let client = StoreClient::new(address, 10, VALUE_BYTES_MAX);
    let reason = reason(client.call(list()).await);
    assert!(reason.contains("bytes"), "{reason}");
  });
}

#[test]
fn the_error_of_a_call_without_an_answer_names_its_kind_and_wait() {
  run(async {
    let client = client(store(|_| vec![Step::Wait(60_000)]));
    let reading = reason(client.call(list()).await);
    assert!(reading.contains("read") && reading.contains("0 bytes"), "{reading}");
    assert!(reading.contains(&format!("{FLOOR_MS} ms")), "{reading}");
    let watching = reason(client.call(watch(50)).await);
    assert!(watching.contains("watch"), "{watching}");
    assert!(watching.contains(&format!("{} ms", FLOOR_MS + 50)), "{watching}");
  });
}

#[test]
fn a_watch_answer_above_the_size_limit_is_too_large() {
  run(async {
    let body = changes(3, VALUE_BYTES_MAX * 9 / 10);
    let client = client(store(move |_| vec![whole(&body)]));
    let result = client.call(watch(1_000)).await;
    assert!(matches!(result, Err(Error::Refused(Refusal::AnswerTooLarge { .. }))), "{result:?}");
  });
}

#[test]
fn a_watch_answer_of_unknown_length_is_cut_off_at_the_size_limit() {
  run(async {
    let body = changes(3, VALUE_BYTES_MAX * 9 / 10);
    let size = body.len();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = format!("{head}{size:x}\r\n{body}\r\n0\r\n\r\n").into_bytes();
    let client = client(store(move |_| vec![Step::Send(answer.clone())]));
    let result = client.call(watch(1_000)).await;
    assert!(matches!(result, Err(Error::Refused(Refusal::AnswerTooLarge { .. }))), "{result:?}");
  });
}

#[test]
fn a_value_of_the_maximum_size_can_be_read_and_watched() {
  const LARGE: usize = 6 << 20;
  run(async {
    let (listed, watched) = (page(LARGE), changes(1, LARGE));
    let answer =
      move |path: &str| vec![whole(if path.contains("watch") { &watched } else { &listed })];
    let client = StoreClient::new(store(answer), 1_000, LARGE);
    client.call(list()).await.expect("the store took it");
    client.call(watch(1_000)).await.expect("the store took it");
  });
}

#[test]
fn after_fast_answers_a_silent_store_is_detected_within_the_minimum_timeout() {
  run(async {
    let calls = Rc::new(RefCell::new(0));
    let address = store(move |_| {
      *calls.borrow_mut() += 1;
      let count = *calls.borrow();
      if count <= 8 { vec![whole(&page(10))] } else { vec![Step::Wait(60_000)] }
    });
    let client = client(address);
    for _ in 0..8 {
      client.call(list()).await.expect("it answers");
    }
    let reason = reason(client.call(list()).await);
    assert!(reason.contains(&format!("{FLOOR_MS} ms")), "{reason}");
  });
}

/// Malformed items, as other writers may leave them, and one valid item.
fn foreign_items() -> Vec<String> {
  let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
  let whole = item(7, 3);
  [
    r#"{"Key":"op/config","Revision":3,"Value":"//79"}"#,
    r#"{"Key":"op/config","Revision":3,"Value":"not base64!"}"#,
    r#"{"Key":"op/config","Revision":3,"Value":7}"#,
    r#"{"Key":"op/config","Revision":3}"#,
    r#"{"Key":"op/config","Revision":"three","Value":"dg=="}"#,
    r#"{"Key":"op/config","Revision":-3,"Value":"dg=="}"#,
    r#"{"Key":"op/config","Value":"dg=="}"#,
    r#"{"Key":"op/config","Revision":3,"Tombstone":"yes","Value":"dg=="}"#,
    r#"{"Key":["op","config"],"Revision":3,"Value":"dg=="}"#,
    r#"{"Revision":3,"Value":"dg=="}"#,
    "null",
    "[]",
    r#""op/config""#,
    &format!(r#"{{"Key":"op/config","Revision":3,"Value":{nested}}}"#),
    &format!(r#"{{"Key":"op/config","Revision":3,"Other":{nested},"Value":7}}"#),
    &whole,
  ]
  .map(str::to_string)
  .into()
}

fn texts(values: impl Iterator<Item = Value>) -> (usize, Vec<String>) {
  let mut unreadable = 0;
  let mut texts = Vec::new();
  for value in values {
    match value.text() {
      Ok(text) => texts.push(text.to_string()),
      Err(_) => unreadable += 1,
    }
  }
  (unreadable, texts)
}

/// Each item is parsed on its own, so a malformed item must not make the others unreadable.
#[test]
fn an_unreadable_item_does_not_hide_others() {
  run(async {
    let items = foreign_items();
    let unreadable = items.len() - 1;
    let body = items.join(",");
    let address = store(move |path| {
      let name = if path.contains("watch") { "events" } else { "items" };
      vec![whole(&format!("{{\"{name}\":[{body}],\"HasMore\":false,\"CurrentRev\":9}}"))]
    });
    let listed = client(address).call(list()).await;
    let Ok(Reply::Entries { entries, revision }) = listed else {
      panic!("{listed:?}");
    };
    let read = texts(entries.into_iter().map(|entry| entry.value));
    assert_eq!((revision, read), (Revision::from(9), (unreadable, vec!["vvv".to_string()])));
    let watched = client(address).call(watch(1_000)).await;
    let Ok(Reply::Changes { events, revision }) = watched else {
      panic!("{watched:?}");
    };
    let values = events.into_iter().map(|event| event.entry.expect("nothing is deleted").value);
    assert_eq!(
      (revision, texts(values)),
      (Revision::from(9), (unreadable, vec!["vvv".to_string()]))
    );
  });
}

/// Bytes that aren't valid UTF-8 must make only their own item unreadable.
#[test]
fn invalid_utf8_does_not_hide_other_items() {
  run(async {
    let malformed = b"{\"Key\":\"op/\xff\xfe\",\"Revision\":3,\"Value\":\"\xff\"}".to_vec();
    let valid = item(7, 3).into_bytes();
    let body =
      [b"{\"HasMore\":false,\"CurrentRev\":9,\"items\":[", &malformed[..], b",", &valid[..], b"]}"]
        .concat();
    let address = store(move |_| vec![Step::Send([head(body.len()), body.clone()].concat())]);
    let listed = client(address).call(list()).await;
    let Ok(Reply::Entries { entries, .. }) = listed else {
      panic!("{listed:?}");
    };
    assert_eq!(texts(entries.into_iter().map(|entry| entry.value)), (1, vec!["vvv".to_string()]));
  });
}

/// Without a revision in the answer, the next watch must continue from the latest revision that the
/// answer shows. A later one would miss changes.
#[test]
fn a_watch_continues_from_the_latest_item_if_the_answer_lacks_a_revision() {
  run(async {
    for (body, expected) in [
      (format!("{{\"events\":[{}],\"CurrentRev\":\"nine\"}}", item(7, 3)), 7),
      (format!("{{\"events\":[{}]}}", item(7, 3)), 7),
      ("{\"events\":[]}".to_string(), 4),
    ] {
      let address = store(move |_| vec![whole(&body)]);
      let request = StoreRequest::Watch { after: Revision::from(4), prefix: key(), wait_ms: 1_000 };
      let watched = client(address).call(request).await;
      let Ok(Reply::Changes { revision, .. }) = watched else {
        panic!("{watched:?}");
      };
      assert_eq!(revision, Revision::from(expected));
    }
  });
}

/// The key after which the next page starts may hold any character, so it must be percent-encoded.
#[test]
fn pages_continue_after_keys_with_special_characters() {
  run(async {
    let address = store(|path| {
      let (key, more) = match path.split_once("&after=") {
        None => ("op/a b&c=\u{e9}", true),
        Some((_, "op/a%20b%26c%3D%C3%A9")) => ("op/config", false),
        Some(_) => ("op/wrong", false),
      };
      let item = format!("{{\"Key\":\"{key}\",\"Revision\":1,\"Value\":\"\"}}");
      vec![whole(&format!("{{\"items\":[{item}],\"HasMore\":{more},\"CurrentRev\":9}}"))]
    });
    let listed = client(address).call(list()).await;
    let Ok(Reply::Entries { entries, .. }) = listed else {
      panic!("{listed:?}");
    };
    let keys: Vec<String> = entries.iter().map(|entry| entry.key.to_string()).collect();
    assert_eq!(keys, ["op/a b&c=\u{e9}", "op/config"]);
  });
}
