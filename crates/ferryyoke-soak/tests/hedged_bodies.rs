//! Requests with bodies while some backend servers of their service are slow, on real processes.

mod support;

use {
  ferryyoke::web::{self, AnyBody, Pool},
  ferryyoke_soak::platform::{self, Trouble},
  futures_util::{
    future::{join, join_all},
    stream,
  },
  http::{Method, Request, StatusCode},
  http_body::Frame,
  http_body_util::StreamBody,
  std::{convert::Infallible, rc::Rc, time::Duration},
  support::{Fleet, run},
};

/// Number of boxes. Every second one serves the service that the requests are for, and has a caller.
const BOXES: usize = 8;

/// How many times as long two of the four backend servers work while they are slow.
const SLOWNESS: u64 = 16;

/// Spells in which they are slow, each time other ones, and the milliseconds of a spell and of the pause before it.
const SPELLS: (usize, u64) = (5, 1_000);

/// Milliseconds of work of a request at a usual backend server.
const WORK_MS: u64 = 60;

/// Milliseconds for which its caller waits.
const WAIT_MS: u64 = 2_000;

/// Milliseconds between two requests of a caller.
const PAUSE_MS: u64 = 20;

/// Requests of a caller. Half of them have a body.
const REQUESTS: usize = 500;

/// Returns a body in chunks, without a length.
fn in_chunks(body: &[u8]) -> AnyBody {
  let chunks: Vec<_> = body.chunks(700).map(bytes::Bytes::copy_from_slice).collect();
  let frames = chunks.into_iter().map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
  AnyBody::streamed(StreamBody::new(stream::iter(frames)))
}

/// Sends a request, with `body` in chunks unless that is empty. Returns the status, and whether the answer is the one to
/// this body.
async fn send(fleet: &Fleet, index: usize, id: &str, body: &[u8]) -> (StatusCode, bool) {
  let method = if body.is_empty() { Method::GET } else { Method::PUT };
  let request = Request::builder()
    .method(method)
    .uri("/read/with-body")
    .header(http::header::HOST, "soak.example")
    .header(platform::REQUEST_ID, id)
    .header(platform::TIME_LEFT_MS, WAIT_MS)
    .header(platform::WORK_MS, WORK_MS)
    .body(if body.is_empty() { web::empty() } else { in_chunks(body) })
    .expect("a valid head");
  let pool = Rc::new(Pool::new(WAIT_MS));
  let answered = pool.exchange(fleet.boxes[index].callers, request, 1 << 20).await;
  let Ok((status, answer)) = answered else {
    return (StatusCode::GATEWAY_TIMEOUT, false);
  };
  (status, answer == ferryyoke_soak::expected_answer(id, body).as_bytes())
}

/// Sends the requests of one caller. Returns how many were served, and how many of these got another answer than the one
/// to their body.
async fn call(fleet: &Fleet, index: usize) -> (usize, usize) {
  let body = b"a transcript ".repeat(160);
  let requests = (0..REQUESTS).map(|number| async move {
    monoio::time::sleep(Duration::from_millis(PAUSE_MS * number as u64)).await;
    (number, format!("{index}-{number}"))
  });
  let sent = requests.map(|request| async {
    let (number, id) = request.await;
    let body = if number % 2 == 0 { &body[..] } else { &[] };
    send(fleet, index, &id, body).await
  });
  join_all(sent)
    .await
    .into_iter()
    .filter(|(status, _)| status.is_success())
    .fold((0, 0), |(served, wrong), (_, is_own)| (served + 1, wrong + usize::from(!is_own)))
}

/// Lets two of the service's backend servers be slow at a time, each time other ones.
async fn turn_slow_in_spells(fleet: &Fleet) {
  let servers: Vec<_> = fleet.boxes.iter().step_by(2).map(|one| &one.backend_server).collect();
  for spell in 0..SPELLS.0 {
    monoio::time::sleep(Duration::from_millis(SPELLS.1)).await;
    let slow = [servers[spell % servers.len()], servers[(spell + 1) % servers.len()]];
    for server in slow {
      server.set_trouble(Trouble { slowness: SLOWNESS, ..Trouble::default() });
    }
    monoio::time::sleep(Duration::from_millis(SPELLS.1)).await;
    for server in slow {
      server.set_trouble(Trouble::default());
    }
  }
}

// Guards against a hedged try that is sent with an empty body, whose answer the caller gets as a success.
#[test]
fn every_success_is_the_answer_to_the_whole_body() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    let callers = join_all((0..BOXES).step_by(2).map(|index| call(&fleet, index)));
    let (callers, ()) = join(callers, turn_slow_in_spells(&fleet)).await;
    let (served, wrong) = callers.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    let twice = {
      let record = fleet.record.borrow();
      let mut ids: Vec<&str> = record.runs.iter().map(|run| run.request_id.as_str()).collect();
      let runs = ids.len();
      ids.sort_unstable();
      ids.dedup();
      runs - ids.len()
    };
    println!("{served} served, {wrong} of them with another answer; {twice} runs were second ones");
    assert_eq!(wrong, 0, "of {served} answers");
    assert!(twice > 0, "no request was hedged, so nothing was tested");
  });
}
