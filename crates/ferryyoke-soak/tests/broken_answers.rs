//! Backend servers whose answers break off while a long upload is written to them, or whose heads are malformed, beside
//! real daemons: beside the caller's box, and behind another one.
//!
//! Guards against callers that get a part of an answer, or a malformed one, as a whole answer of the backend server.

mod support;

use {
  bytes::BytesMut,
  ferryyoke::web::http1::{Decoded, ResponseHead},
  ferryyoke_soak::{SoakBox, platform},
  socket2::SockRef,
  std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
      Arc, Mutex,
      atomic::{AtomicUsize, Ordering},
      mpsc,
    },
    thread,
    time::Duration,
  },
  support::{Answer, Fleet, pause_ms, run, soon},
};

/// Each box is beside a backend server of another service, so that both kinds of routes are asked at a backend server
/// beside the caller's box and at one behind another box.
const BOXES: usize = 2;

/// The routes: one whose requests may run again, and one whose requests may not.
const PATHS: [&str; 2] = ["/read/", "/send/"];

/// Bytes of an upload.
const UPLOAD_BYTES: usize = 6_000_000;

/// Bytes of an answer that come before its connection ends.
const PART_BYTES: usize = 3_000;

/// Uploads of each kind, to each route, at each box. One alone may miss the moment at which an answer was misread.
const UPLOADS: usize = 10;

/// Uploads that are sent at once.
const AT_ONCE: usize = 5;

/// A link that carries all uploads: none is refused for want of room.
const LINK_MBPS: f64 = 100_000.0;

/// Milliseconds for which callers wait.
const CALLER_MS: u64 = 5_000;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// In an answer of the script: the id of its request.
const ID: &str = "{id}";

/// What the body of an answer of the script begins with.
const MARK: &str = "script";

/// How a backend server ends a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  /// It closes its side, and reads on.
  Close,
  Reset,
}

/// How a backend server answers.
#[derive(Clone, Debug)]
struct Script {
  answer: Vec<u8>,
  end: End,
}

impl Script {
  /// An answer with the body, framed by `framing`, of which all but the last `missing_bytes` are sent.
  fn framed(framing: &str, body: &[u8], missing_bytes: usize, end: End) -> Self {
    let head = format!("HTTP/1.1 200 OK\r\n{}: {ID}\r\n{framing}\r\n", platform::REQUEST_ID);
    let mut answer = [head.as_bytes(), body].concat();
    answer.truncate(answer.len() - missing_bytes);
    Self { answer, end }
  }

  /// An answer whose end is that of its connection.
  fn unsized_body(end: End) -> Self {
    Self::framed("", &body(), 0, end)
  }

  fn with_length(missing_bytes: usize, end: End) -> Self {
    Self::framed(&format!("content-length: {PART_BYTES}\r\n"), &body(), missing_bytes, end)
  }

  fn chunked(missing_bytes: usize, end: End) -> Self {
    let size = format!("{PART_BYTES:x}\r\n");
    let whole = [size.as_bytes(), &body(), b"\r\n0\r\n\r\n"].concat();
    Self::framed("transfer-encoding: chunked\r\n", &whole, missing_bytes, end)
  }
}

fn body() -> Vec<u8> {
  [MARK.as_bytes(), &vec![b'x'; PART_BYTES - MARK.len()]].concat()
}

/// A backend server that answers each request once it has read its head: by the script, or soundly where its path asks
/// for that.
struct ScriptedServer {
  address: SocketAddr,
  /// Requests that were answered by the script.
  answered: Arc<AtomicUsize>,
  script: Arc<Mutex<Script>>,
}

impl ScriptedServer {
  fn start() -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let script = Arc::new(Mutex::new(Script::unsized_body(End::Reset)));
    let (answered, played) = (Arc::<AtomicUsize>::default(), script.clone());
    let counted = answered.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let (played, counted) = (played.clone(), counted.clone());
        thread::spawn(move || serve(stream, &played, &counted));
      }
    });
    Self { address, answered, script }
  }

  fn play(&self, script: &Script) {
    *self.script.lock().expect("no thread panics") = script.clone();
  }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>, answered: &AtomicUsize) {
  while let Some(head) = read_head(&mut stream) {
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or_default();
    if head.contains("/health") || head.contains("/sound") {
      let sound = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\ncontent-length: 5\r\n\r\nsound",
        platform::REQUEST_ID
      );
      if stream.write_all(sound.as_bytes()).is_err() {
        return;
      }
      continue;
    }
    let Script { answer, end } = script.lock().expect("no thread panics").clone();
    answered.fetch_add(1, Ordering::SeqCst);
    let is_sent = stream.write_all(&replace(&answer, ID.as_bytes(), id.as_bytes())).is_ok();
    match end {
      End::Close => {
        stream.shutdown(Shutdown::Write).ok();
        let mut bytes = vec![0; 65_536];
        while is_sent && matches!(stream.read(&mut bytes), Ok(1..)) {}
      }
      End::Reset => {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option is set");
      }
    }
    return;
  }
}

/// Reads a head, a byte at a time: nothing of the body.
fn read_head(stream: &mut TcpStream) -> Option<String> {
  let mut head = Vec::new();
  while !head.ends_with(b"\r\n\r\n") {
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    head.push(byte[0]);
  }
  String::from_utf8(head).ok()
}

fn replace(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
  match bytes.windows(from.len()).position(|window| window == from) {
    Some(at) => [&bytes[..at], to, &bytes[at + from.len()..]].concat(),
    None => bytes.to_vec(),
  }
}

/// How the body of an upload is sent.
#[derive(Clone, Copy, Debug)]
struct Upload {
  is_chunked: bool,
  /// Whether the caller pauses between the pieces.
  is_paced: bool,
}

impl Upload {
  const PIECE_BYTES: usize = 60_000;
  const PAUSE: Duration = Duration::from_millis(1);

  const ALL: [Self; 4] = [
    Self { is_chunked: false, is_paced: false },
    Self { is_chunked: false, is_paced: true },
    Self { is_chunked: true, is_paced: false },
    Self { is_chunked: true, is_paced: true },
  ];

  fn head(self, path: &str, id: &str) -> String {
    let framing = if self.is_chunked {
      "transfer-encoding: chunked".into()
    } else {
      format!("content-length: {UPLOAD_BYTES}")
    };
    head("POST", path, id, &framing)
  }

  fn write(self, stream: &mut TcpStream) -> std::io::Result<()> {
    let piece = vec![b'u'; Self::PIECE_BYTES];
    for _ in 0..UPLOAD_BYTES / Self::PIECE_BYTES {
      if self.is_chunked {
        write!(stream, "{:x}\r\n", Self::PIECE_BYTES)?;
      }
      stream.write_all(&piece)?;
      if self.is_chunked {
        stream.write_all(b"\r\n")?;
      }
      if self.is_paced {
        thread::sleep(Self::PAUSE);
      }
    }
    if self.is_chunked { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
  }
}

fn head(method: &str, path: &str, id: &str, framing: &str) -> String {
  format!(
    "{method} {path}{id} HTTP/1.1\r\nhost: soak.example\r\n{}: {CALLER_MS}\r\n{}: {id}\r\n{framing}\r\n\r\n",
    platform::TIME_LEFT_MS,
    platform::REQUEST_ID,
  )
}

/// An answer as its caller reads it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Seen {
  /// The connection ended before the end of an answer.
  Broken,
  /// A whole answer, with the start of its body.
  Whole { body: String, status: u16 },
}

impl Seen {
  /// Whether the caller takes it for a whole answer of the script.
  fn is_scripted(&self) -> bool {
    matches!(self, Self::Whole { body, .. } if body.starts_with(MARK))
  }

  /// Whether it is the daemon's own answer to a request whose answer is none.
  fn is_bad_gateway(&self) -> bool {
    matches!(self, Self::Whole { body, status: 502 } if !body.contains(MARK))
  }

  fn is_sound(&self) -> bool {
    *self == Self::Whole { body: "sound".into(), status: 200 }
  }
}

/// Whether the answers of one connection end with an upload whose answer the caller knows to be none. The request behind
/// it has no answer.
fn is_cut(seen: &[Seen]) -> bool {
  match seen {
    [before, upload] => before.is_sound() && (*upload == Seen::Broken || upload.is_bad_gateway()),
    // Not even the head of the answer came.
    [before] => before.is_sound(),
    _ => false,
  }
}

/// Whether the answers of one connection end with the whole answer to an upload.
fn is_delivered(seen: &[Seen]) -> bool {
  matches!(seen, [before, upload] if before.is_sound() && upload.is_scripted())
}

/// Reads answers until the connection ends. Ends with a broken one if some bytes are no whole answer.
fn read_answers(stream: &mut TcpStream) -> Vec<Seen> {
  let mut bytes = Vec::new();
  let mut piece = vec![0; 65_536];
  while let Ok(count @ 1..) = stream.read(&mut piece) {
    bytes.extend_from_slice(&piece[..count]);
  }
  let mut bytes = BytesMut::from(&bytes[..]);
  let mut seen = Vec::new();
  while !bytes.is_empty() {
    let one = take_answer(&mut bytes);
    let is_broken = one == Seen::Broken;
    seen.push(one);
    if is_broken {
      break;
    }
  }
  seen
}

fn take_answer(bytes: &mut BytesMut) -> Seen {
  const SHOWN_CHARACTERS: usize = 60;
  let Ok(Some(mut head)) = ResponseHead::take(bytes, false) else {
    return Seen::Broken;
  };
  let mut body = Vec::new();
  loop {
    match head.decoder.next(bytes) {
      Ok(Decoded::Data(data)) => body.extend_from_slice(&data),
      Ok(Decoded::End) => break,
      // An answer that the end of the connection ends looks whole.
      Ok(Decoded::Incomplete) if head.decoder.ends_with_connection() => break,
      Ok(Decoded::Incomplete) | Err(_) => return Seen::Broken,
    }
  }
  let body = String::from_utf8_lossy(&body).chars().take(SHOWN_CHARACTERS).collect();
  Seen::Whole { body, status: head.parts.status.as_u16() }
}

/// Sends an upload behind a short request, with another one behind it. Returns the answers.
fn send_upload(callers: SocketAddr, path: &str, id: &str, upload: Upload) -> Vec<Seen> {
  let mut stream = TcpStream::connect(callers).expect("a connection");
  let wait = Duration::from_millis(2 * CALLER_MS);
  stream.set_read_timeout(Some(wait)).expect("an option is set");
  stream.set_write_timeout(Some(wait)).expect("an option is set");
  let before = head("GET", path, &format!("sound-{id}-before"), "x-position: before");
  let behind = head("GET", path, &format!("sound-{id}-behind"), "x-position: behind");
  let mut writing = stream.try_clone().expect("a handle");
  let start = before + &upload.head(path, id);
  let writer = thread::spawn(move || {
    writing.write_all(start.as_bytes())?;
    upload.write(&mut writing)?;
    writing.write_all(behind.as_bytes())
  });
  let seen = read_answers(&mut stream);
  // A write that fails is no fault: the daemon closes the connection behind an early answer.
  drop(stream);
  writer.join().expect("no panic").ok();
  seen
}

/// Runs `calls` in threads, [`AT_ONCE`] at a time.
async fn at_once<T: Send + 'static>(calls: Vec<impl FnOnce() -> T + Send + 'static>) -> Vec<T> {
  let mut outcomes = Vec::new();
  let mut calls = calls.into_iter().peekable();
  while calls.peek().is_some() {
    let (send, received) = mpsc::channel();
    let begun = calls.by_ref().take(AT_ONCE).map(|call| {
      let send = send.clone();
      thread::spawn(move || send.send(call()))
    });
    let goal = outcomes.len() + begun.count();
    let until = soon(MAX_WAIT_MS);
    while outcomes.len() < goal {
      assert!(std::time::Instant::now() < until, "a call does not end");
      outcomes.extend(received.try_recv());
      pause_ms(1).await;
    }
  }
  outcomes
}

/// Starts a fleet whose backend servers are all the scripted one.
async fn start() -> (Fleet, ScriptedServer) {
  let (fleet, server) = (Fleet::prepare(BOXES), ScriptedServer::start());
  for one in &fleet.boxes {
    one.name_backend_server(server.address).expect("settings");
    one.backend_server.offer_slots(200);
    one
      .change_settings(|settings| settings["deployment"]["link_mbps"] = LINK_MBPS.into())
      .expect("settings");
  }
  let text = platform::configuration(&SoakBox::SERVICES, 0);
  let mut whole: serde_json::Value = serde_json::from_str(&text).expect("JSON");
  whole["Limits"]["MaxBodyBytes"] = (2 * UPLOAD_BYTES).into();
  fleet.store.accept(whole.to_string()).expect("the store accepts it");
  (0..BOXES).for_each(|index| fleet.start(index));
  for index in 0..BOXES {
    for path in PATHS {
      let path = format!("{path}sound");
      fleet.ask_until(index, &path, soon(MAX_WAIT_MS), Answer::is_served).await;
    }
  }
  (fleet, server)
}

/// Sends uploads of each kind to each route at each box, each of a path of its own, so that none looks like another one
/// that ended a backend server. Returns what was seen: the short request before each, and the upload.
async fn send_uploads(fleet: &Fleet, server: &ScriptedServer, name: &str) -> Vec<Vec<Seen>> {
  let mut all = Vec::new();
  for upload in Upload::ALL {
    for path in PATHS {
      for (index, one) in fleet.boxes.iter().enumerate() {
        let callers = one.callers;
        let before = server.answered.load(Ordering::SeqCst);
        let calls = (0..UPLOADS).map(|number| {
          let kind = format!("{}-{}", upload.is_chunked, upload.is_paced);
          let id = format!("{name}-{kind}-{}-{index}-{number}", path.trim_matches('/'));
          move || send_upload(callers, path, &id, upload)
        });
        let seen = at_once(calls.collect()).await;
        let answered = server.answered.load(Ordering::SeqCst) - before;
        let scripted = seen.iter().flatten().filter(|one| one.is_scripted());
        println!(
          "{name}, {upload:?}, {path} at box {index}: {answered} answered, {} taken for whole",
          scripted.count()
        );
        assert!(answered >= UPLOADS, "{name}: uploads did not arrive: {seen:?}\n{}", one.log());
        all.extend(seen);
      }
    }
  }
  all
}

/// Plays each script to uploads, and checks what the caller of each saw.
async fn check_uploads(scripts: &[(&str, Script)], is_right: impl Fn(&[Seen]) -> bool) {
  let (fleet, server) = start().await;
  let mut wrong = Vec::new();
  for (name, script) in scripts {
    server.play(script);
    let seen = send_uploads(&fleet, &server, name).await;
    wrong.extend(seen.into_iter().filter(|seen| !is_right(seen)).map(|seen| (name, seen)));
  }
  assert!(wrong.is_empty(), "{} uploads, the first of them: {:?}", wrong.len(), wrong[0]);
}

/// Guards against a part of an answer that callers get as a whole one: the answer of a backend server that answers a
/// long upload at once, and resets the connection in the middle of its answer.
#[test]
fn a_part_of_an_answer_to_an_upload_is_no_answer() {
  run(async {
    let scripts = [
      ("unsized-reset", Script::unsized_body(End::Reset)),
      ("length-reset", Script::with_length(1, End::Reset)),
      ("length-closed", Script::with_length(1, End::Close)),
      ("chunked-reset", Script::chunked(5, End::Reset)),
      ("chunked-closed", Script::chunked(5, End::Close)),
    ];
    check_uploads(&scripts, is_cut).await;
  });
}

/// Guards against a whole answer to a long upload that is lost as its connection ends right behind it.
#[test]
fn a_whole_answer_to_an_upload_is_delivered_however_its_connection_ends() {
  run(async {
    let scripts = [
      ("unsized-closed", Script::unsized_body(End::Close)),
      ("length-reset", Script::with_length(0, End::Reset)),
      ("length-closed", Script::with_length(0, End::Close)),
      ("chunked-reset", Script::chunked(0, End::Reset)),
      ("chunked-closed", Script::chunked(0, End::Close)),
    ];
    check_uploads(&scripts, is_delivered).await;
  });
}

/// Heads that are no HTTP: a status or the name of a field is malformed. Each is followed by a whole body.
fn odd_heads() -> Vec<Vec<u8>> {
  let statuses = ["000", "099", "00", "20", "0200", "1000", "2x0", "-20", "+200", "0x1"];
  let mut heads: Vec<Vec<u8>> = statuses
    .iter()
    .map(|status| format!("HTTP/1.1 {status} OK\r\ncontent-length: 6\r\n").into_bytes())
    .collect();
  let names: [&[u8]; 23] = [
    b"x odd: v",
    b"x-odd : v",
    b"x\todd: v",
    b"x-odd\t: v",
    b" x-odd: v",
    b"\tx-odd: v",
    b": v",
    b"x-odd",
    b"x-\x00odd: v",
    b"x-\x01odd: v",
    b"x-\x07odd: v",
    b"x-\x08odd: v",
    b"x-\x0bodd: v",
    b"x-\x0codd: v",
    b"x-\x1bodd: v",
    b"x-\x1fodd: v",
    b"x-\x7fodd: v",
    b"x-odd\x00: v",
    b"x-\xffodd: v",
    b"content-length : 3",
    b"content length: 3",
    b"content-length\x0b: 3",
    b"transfer-encoding : chunked",
  ];
  for name in names {
    // Before the other fields, and behind them.
    heads.push([b"HTTP/1.1 200 OK\r\n", name, b"\r\ncontent-length: 6\r\n"].concat());
    heads.push([b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n", name, b"\r\n"].concat());
  }
  heads
}

/// Guards against a malformed head of a backend server that callers get as an answer, with the malformed line or with
/// another body than the backend server's.
#[test]
fn an_answer_with_a_malformed_head_is_no_answer() {
  run(async {
    let (fleet, server) = start().await;
    for (number, odd) in odd_heads().into_iter().enumerate() {
      let id = format!("{}: {ID}\r\n\r\n", platform::REQUEST_ID);
      let answer = [&odd, id.as_bytes(), MARK.as_bytes()].concat();
      server.play(&Script { answer, end: End::Close });
      for path in PATHS {
        for (index, one) in fleet.boxes.iter().enumerate() {
          let before = server.answered.load(Ordering::SeqCst);
          let callers = one.callers;
          let id = format!("odd-{number}-{}-{index}", path.trim_matches('/'));
          let ask = move || {
            let mut stream = TcpStream::connect(callers).expect("a connection");
            let wait = Duration::from_millis(2 * CALLER_MS);
            stream.set_read_timeout(Some(wait)).expect("an option is set");
            let request = head("GET", path, &id, "connection: close");
            stream.write_all(request.as_bytes()).expect("sent");
            read_answers(&mut stream)
          };
          let seen = at_once(vec![ask]).await.remove(0);
          let text = String::from_utf8_lossy(&odd).into_owned();
          assert!(server.answered.load(Ordering::SeqCst) > before, "{text:?}: not asked: {seen:?}");
          let is_refused = matches!(&seen[..], [one] if one.is_bad_gateway());
          assert!(is_refused, "{text:?}, {path} at box {index}: {seen:?}");
        }
      }
    }
  });
}
