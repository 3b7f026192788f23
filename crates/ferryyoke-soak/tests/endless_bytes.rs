//! Backend servers that send bytes that are no answer without end, in a head or in a body, to many requests at once,
//! beside real daemons.
//!
//! Guards against a daemon that keeps all that its backend server sends until it runs out of memory, and ends the
//! requests of other callers with it.

mod support;

use {
  ferryyoke_soak::platform,
  std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
      Arc, Mutex,
      atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
  support::{Answer, Fleet, pause_ms, run, soon},
};

/// Box 0 is beside the backend server that sends without end, box 1 beside a sound one of another service.
const BOXES: usize = 2;

/// Requests at once at each box.
const REQUESTS: usize = 60;

/// Milliseconds for which callers wait: the timeout of the routes.
const CALLER_MS: u64 = 2_000;

/// Milliseconds for which callers keep their connections.
const KEPT_MS: u64 = 3_000;

/// Seconds for which a backend server sends on one connection at most: far longer than callers wait.
const SENDS_MAX_S: u64 = 20;

/// The memory of the smallest machine in kilobytes.
const MEMORY_KB_MAX: u64 = 160 << 10;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// What a backend server sends: its start, and what follows over and over.
#[derive(Clone, Copy, Debug)]
struct Form {
  name: &'static str,
  piece: &'static str,
  start: &'static str,
}

const fn form(name: &'static str, start: &'static str, piece: &'static str) -> Form {
  Form { name, piece, start }
}

const FORMS: [Form; 13] = [
  form("no line", "", "x"),
  form("lines that are no head", "", "no status line\r\n"),
  form("a status line", "HTTP/1.1 200 ", "O"),
  form("fields of a head", "HTTP/1.1 200 OK\r\n", "x-field: of some bytes\r\n"),
  form("one field of a head", "HTTP/1.1 200 OK\r\nx-field: ", "y"),
  form("interim answers", "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
  form(
    "large chunks",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "40\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
  ),
  form("chunks of a byte", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
  form("a chunk's line", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "e"),
  form(
    "trailers",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
    "x-trailer: t\r\n",
  ),
  form("a body without a length", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "bytes "),
  form(
    "a body of the greatest length",
    "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
    "bytes ",
  ),
  form("surplus after a whole body", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nOK", "bytes "),
];

/// A backend server that answers each request in the form that is set.
struct EndlessServer {
  address: SocketAddr,
  form: Arc<Mutex<Form>>,
  /// Requests that got bytes.
  requests: Arc<AtomicUsize>,
}

impl EndlessServer {
  fn start() -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (form, requests) = (Arc::new(Mutex::new(FORMS[0])), Arc::<AtomicUsize>::default());
    let (sent, counted) = (form.clone(), requests.clone());
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let (sent, counted) = (sent.clone(), counted.clone());
        thread::spawn(move || serve(stream, &sent, &counted));
      }
    });
    Self { address, form, requests }
  }
}

fn serve(mut stream: TcpStream, form: &Mutex<Form>, requests: &AtomicUsize) {
  if !matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
    return;
  }
  let Form { piece, start, .. } = *form.lock().expect("no thread panics");
  requests.fetch_add(1, Ordering::SeqCst);
  let many = piece.repeat(65_536 / piece.len());
  stream.set_write_timeout(Some(Duration::from_secs(SENDS_MAX_S))).expect("a socket");
  let began = Instant::now();
  let mut sent = stream.write_all(start.as_bytes());
  while sent.is_ok() && began.elapsed() < Duration::from_secs(SENDS_MAX_S) {
    sent = stream.write_all(many.as_bytes());
  }
}

/// Sends requests at once to one box, each on a connection of its own. Each path differs, so that no request looks like
/// another one that ended a backend server.
fn send_requests(callers: SocketAddr, round: &str, reads: bool) -> Vec<TcpStream> {
  let mut members = Vec::new();
  for number in 0..REQUESTS {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let head = format!(
      "GET /read/{round}/{number} HTTP/1.1\r\nhost: soak.example\r\n{}: {CALLER_MS}\r\n{}: {round}-{number}\r\n\r\n",
      platform::TIME_LEFT_MS,
      platform::REQUEST_ID
    );
    stream.write_all(head.as_bytes()).expect("sent");
    if reads {
      let mut reading = stream.try_clone().expect("a handle");
      let mut bytes = vec![0; 65_536];
      thread::spawn(move || while matches!(reading.read(&mut bytes), Ok(1..)) {});
    }
    members.push(stream);
  }
  members
}

/// Checks that each box answers callers of the other service.
async fn serves_others(fleet: &Fleet, case: &str) {
  for index in 0..BOXES {
    println!("{case}: others at box {index}");
    fleet.ask_until(index, "/send/", soon(MAX_WAIT_MS), Answer::is_served).await;
  }
}

#[test]
fn endless_heads_and_bodies_stay_within_the_memory_and_others_are_served() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    let server = EndlessServer::start();
    fleet.boxes[0].name_backend_server(server.address).expect("settings");
    fleet.boxes[0].backend_server.offer_slots(u32::try_from(2 * REQUESTS).expect("a count"));
    fleet.write(1, 0, "safe");
    (0..BOXES).for_each(|index| fleet.start(index));
    serves_others(&fleet, "start").await;
    // The daemons believe the backend server after some of its reports.
    let until = soon(MAX_WAIT_MS);
    while server.requests.load(Ordering::SeqCst) == 0 {
      assert!(Instant::now() < until, "no request arrived\n{}", fleet.boxes[0].log());
      drop(fleet.ask(0, "/read/start").await);
    }
    for (number, form) in FORMS.into_iter().enumerate() {
      for reads in [true, false] {
        *server.form.lock().expect("no thread panics") = form;
        let before = server.requests.load(Ordering::SeqCst);
        let round = format!("{number}-{reads}");
        let until = soon(MAX_WAIT_MS);
        let members: Vec<Vec<TcpStream>> =
          fleet.boxes.iter().map(|one| send_requests(one.callers, &round, reads)).collect();
        while server.requests.load(Ordering::SeqCst) == before {
          assert!(Instant::now() < until, "{}: no request arrived", form.name);
          pause_ms(support::LOOK_MS).await;
        }
        serves_others(&fleet, form.name).await;
        pause_ms(KEPT_MS).await;
        serves_others(&fleet, form.name).await;
        drop(members);
        let peak_kb = |one: &ferryyoke_soak::SoakBox| {
          one.measure(|daemon| daemon.memory_kb("VmHWM")).expect("the daemon lives")
        };
        let peaks_kb: Vec<u64> = fleet.boxes.iter().map(peak_kb).collect();
        let arrived = server.requests.load(Ordering::SeqCst) - before;
        println!("{}, read {reads}: {arrived} requests, peaks of {peaks_kb:?} KB", form.name);
        assert!(
          peaks_kb.iter().all(|peak| *peak <= MEMORY_KB_MAX),
          "{}: {peaks_kb:?} KB",
          form.name
        );
      }
    }
  });
}
