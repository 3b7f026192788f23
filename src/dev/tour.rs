//! A tour of the main features on the development deployment. Every step checks its result.

use super::*;

use super::mesh::accepted_version;

/// Bytes of the recording that the tour uploads.
const RECORDING_BYTES: usize = 64 << 20;

/// Bytes of a piece of the recording.
const PIECE_BYTES: usize = 64 << 10;

/// Largest response body in bytes that the tour reads.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Requests sent after a drain to check that none reaches the drained box.
const REQUESTS_AFTER_DRAIN: usize = 60;

/// Milliseconds after which no daemon sends new requests to a drained box.
const DRAIN_MS: u64 = 3_000;

/// Makes the tour. Returns the error of the first step that fails.
pub async fn run(mesh: &Mesh) -> Result {
  let started = Instant::now();
  browse(mesh).await?;
  change_route(mesh).await?;
  certify_twice(mesh).await?;
  drain(mesh).await?;
  why_box(mesh).await?;
  why_request(mesh).await?;
  upload_while_stopping(mesh).await?;
  println!("the tour went well in {:.1} s", started.elapsed().as_secs_f64());
  Ok(())
}

fn print_passed(step: &str, what: impl Display) {
  println!("ok  {step}: {what}");
}

fn check(holds: bool, what: impl FnOnce() -> String) -> Result {
  if holds { Ok(()) } else { Err(Error::Step(what())) }
}

struct Reply {
  body: serde_json::Value,
  headers: HeaderMap,
  status: StatusCode,
}

async fn send(
  address: SocketAddr,
  request: http::request::Builder,
  body: AnyBody,
) -> Result<Reply> {
  let pool = web::Pool::new(2_000);
  let request = request
    .header(http::header::HOST, address.to_string())
    .body(body)
    .map_err(|err| Error::Step(err.to_string()))?;
  let (head, body) = Rc::new(pool).exchange_whole(address, request, ANSWER_BYTES_MAX).await?;
  let body = serde_json::from_slice(&body).unwrap_or_default();
  Ok(Reply { body, headers: head.headers, status: head.status })
}

async fn get(one: &DevBox, path: &str) -> Result<Reply> {
  send(one.callers(), Request::get(path), web::empty()).await
}

async fn browse(mesh: &Mesh) -> Result {
  for one in &mesh.boxes {
    let got = get(one, "/minutes/2026-11").await?;
    let served = got.body["backend_server"].as_str().unwrap_or_default().to_string();
    check(got.status == StatusCode::OK && served.starts_with("minutes-archive-"), || {
      format!("box {} answered {} from `{served}`", one.box_id(), got.status)
    })?;
  }
  print_passed("browse minutes", format!("answered through each of {} boxes", mesh.boxes.len()));
  Ok(())
}

async fn change_route(mesh: &Mesh) -> Result {
  let first = &mesh.boxes[0];
  let before = get(first, "/archive/1").await?;
  check(before.status == StatusCode::NOT_FOUND, || {
    format!("/archive was routed before there was a route: {}", before.status)
  })?;
  let answer = first.execute("create route archive path /archive service minutes-archive").await?;
  let version = accepted_version(&answer)?;
  mesh.wait_for_version(version).await?;
  let (rollout, waiting) = wait_for_rollout(first, version).await?;
  print!("{rollout}");
  check(rollout.table.rows.len() == mesh.boxes.len() && waiting == 0, || {
    format!("the rollout shows {} boxes, {waiting} of them waiting", rollout.table.rows.len())
  })?;
  for one in &mesh.boxes {
    let got = get(one, "/archive/1").await?;
    check(got.status == StatusCode::OK, || {
      format!("box {} does not use the new route: {}", one.box_id(), got.status)
    })?;
  }
  print_passed("change a route", format!("version {version} is in force on every box"));
  Ok(())
}

/// The rollout of a version once every box is known to apply it, or its state after the last query;
/// with the number of boxes that do not apply it yet.
async fn wait_for_rollout(one: &DevBox, version: Version) -> Result<(Answer, usize)> {
  const QUERIES_MAX: usize = 50;
  const QUERY_INTERVAL_MS: u64 = 100;
  for queries in 1.. {
    let rollout = one.execute(&format!("rollout {version}")).await?;
    let waiting = rollout.table.rows.iter().filter(|row| row[2].as_str() != Some("yes")).count();
    if waiting == 0 || queries == QUERIES_MAX {
      return Ok((rollout, waiting));
    }
    monoio::time::sleep(Duration::from_millis(QUERY_INTERVAL_MS)).await;
  }
  unreachable!("the loop ends with its last query")
}

async fn certify_twice(mesh: &Mesh) -> Result {
  let certify = |one: SocketAddr| {
    let request = Request::post("/certify/minutes-17").header(headers::KEY, "tour-certificate-17");
    send(one, request, web::full("the final transcript"))
  };
  let first = certify(mesh.boxes[0].callers()).await?;
  let second = certify(mesh.boxes[7].callers()).await?;
  check(first.status == StatusCode::OK && second.status == StatusCode::OK, || {
    format!("the certifications were answered {} and {}", first.status, second.status)
  })?;
  check(second.headers.contains_key(headers::REPLAYED), || {
    "the second certification ran again".into()
  })?;
  check(first.body == second.body, || "the two answers differ".into())?;
  let journals = mesh.boxes.iter().map(|one| one.backend_server.journal());
  let runs: usize = journals
    .map(|journal| journal.runs.iter().filter(|run| run.line.contains("minutes-17")).count())
    .sum();
  check(runs == 1, || format!("the certification ran {runs} times"))?;
  print_passed("certify twice under one key", "ran once; both callers have its answer");
  Ok(())
}

async fn drain(mesh: &Mesh) -> Result {
  let drained = mesh.boxes_of("minutes-archive")[1];
  let box_id = drained.box_id();
  accepted_version(&mesh.boxes[3].execute(&format!("drain {box_id}")).await?)?;
  monoio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
  let before = drained.backend_server.journal().runs.len();
  for index in 0..REQUESTS_AFTER_DRAIN {
    let one = &mesh.boxes[index % mesh.boxes.len()];
    let got = get(one, "/minutes/after-drain").await?;
    check(got.status == StatusCode::OK, || format!("a request failed: {}", got.status))?;
  }
  let after = drained.backend_server.journal().runs.len();
  check(before == after, || format!("box {box_id} got {} new requests", after - before))?;
  accepted_version(&mesh.boxes[3].execute(&format!("undrain {box_id}")).await?)?;
  print_passed(
    "drain a backend server",
    format!("{REQUESTS_AFTER_DRAIN} requests, none of them to {box_id}"),
  );
  Ok(())
}

async fn why_box(mesh: &Mesh) -> Result {
  let asked = &mesh.boxes[2];
  let box_id = mesh.boxes[9].box_id();
  let answer = asked.execute(&format!("why box {box_id} holds route archive")).await?;
  print!("{answer}");
  let text = answer.to_string();
  let has_facts =
    ["changed by", "received from", "applied at"].iter().all(|fact| text.contains(fact));
  check(answer.outcome == AnswerOutcome::Done && has_facts, || {
    "the answer lacks expected facts".into()
  })?;
  print_passed(
    "ask why a box holds a route",
    format!("box {} told of box {box_id}", asked.box_id()),
  );
  Ok(())
}

async fn why_request(mesh: &Mesh) -> Result {
  let got = get(&mesh.boxes[4], "/minutes/why").await?;
  let id = headers::text(&got.headers, headers::REQUEST_ID).unwrap_or_default().to_string();
  let asked = &mesh.boxes[11];
  let answer = asked.execute(&format!("why request {id}")).await?;
  print!("{answer}");
  let text = answer.to_string();
  let carrier = format!("box {}", mesh.boxes[4].box_id());
  let facts = ["by route minutes", "chosen", carrier.as_str()];
  check(facts.iter().all(|fact| text.contains(fact)), || "the answer lacks expected facts".into())?;
  print_passed("ask why a request went where it went", format!("box {} told it", asked.box_id()));
  Ok(())
}

async fn upload_while_stopping(mesh: &Mesh) -> Result {
  let carrier = mesh.boxes_of("recording-intake")[0];
  let piece = Bytes::from(vec![b'r'; PIECE_BYTES]);
  let pieces = RECORDING_BYTES / PIECE_BYTES;
  let mut hasher = blake3::Hasher::new();
  (0..pieces).for_each(|_| {
    hasher.update(&piece);
  });
  let expected = Digest::from(hasher).to_string();
  let stream = futures_util::stream::unfold(0, move |sent| {
    let piece = piece.clone();
    async move {
      if sent == pieces {
        return None;
      }
      monoio::time::sleep(Duration::from_millis(2)).await;
      let frame = Ok::<_, std::convert::Infallible>(http_body::Frame::data(piece));
      Some((frame, sent + 1))
    }
  });
  let body = AnyBody::streamed(http_body_util::StreamBody::new(stream));
  let uploading = send(carrier.callers(), Request::post("/recordings/session-9"), body);
  let stopping = async {
    monoio::time::sleep(Duration::from_millis(500)).await;
    carrier.daemon.stop().await
  };
  let (got, cut) = futures_util::future::join(uploading, stopping).await;
  let got = got?;
  check(cut == 0, || format!("the stop cut {cut} connections"))?;
  check(got.status == StatusCode::OK, || format!("the upload was answered {}", got.status))?;
  check(got.body["digest"].as_str() == Some(&expected), || "the recording arrived changed".into())?;
  print_passed(
    "upload a recording while its daemon stops as planned",
    format!("{} MB arrived whole and nothing was cut", RECORDING_BYTES >> 20),
  );
  Ok(())
}
