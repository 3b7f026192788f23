//! A stand-in of a backend server: reports to the daemon on its machine, and runs requests as told.

use std::{
  io::{self, BufReader, Write},
  net::{Shutdown, SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::Duration,
};

use crate::{
  http::{Head, ask},
  record::Record,
};

/// How a backend server handles a request.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
  /// Size of the answer's body in bytes.
  pub bytes: usize,
  /// How long it works before its answer begins.
  pub work: Duration,
  /// How long it takes to send the answer, in ten pieces.
  pub sends_for: Duration,
}

type Planner = Arc<dyn Fn(&str) -> Plan + Send + Sync>;

#[derive(Clone)]
pub struct Backend {
  shared: Arc<Shared>,
}

struct Shared {
  control: SocketAddr,
  connections: Mutex<Vec<TcpStream>>,
  id: String,
  is_draining: AtomicBool,
  is_over: AtomicBool,
  planner: Planner,
  record: Arc<Record>,
  running: AtomicU64,
  sequence: AtomicU64,
  service: String,
  slots: u32,
  version: String,
}

impl Backend {
  pub fn start(
    listener: TcpListener,
    control: SocketAddr,
    (id, service, version): (&str, &str, &str),
    slots: u32,
    record: Arc<Record>,
    planner: Planner,
  ) -> Self {
    let shared = Arc::new(Shared {
      control,
      connections: Mutex::default(),
      id: id.into(),
      is_draining: AtomicBool::default(),
      is_over: AtomicBool::default(),
      planner,
      record,
      running: AtomicU64::default(),
      sequence: AtomicU64::default(),
      service: service.into(),
      slots,
      version: version.into(),
    });
    let accepting = shared.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        if accepting.is_over.load(Ordering::SeqCst) {
          return;
        }
        if let Ok(kept) = stream.try_clone() {
          accepting.connections.lock().unwrap().push(kept);
        }
        let shared = accepting.clone();
        thread::spawn(move || shared.serve(stream));
      }
    });
    let backend = Self { shared };
    let reporting = backend.clone();
    thread::spawn(move || {
      while !reporting.shared.is_over.load(Ordering::SeqCst) {
        reporting.report();
        thread::sleep(Duration::from_millis(1_500));
      }
    });
    backend
  }

  /// Sends a liveness report. Returns the status of its answer, 0 without one.
  pub fn report(&self) -> u16 {
    let shared = &self.shared;
    let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let is_draining = shared.is_draining.load(Ordering::SeqCst);
    let state = if is_draining { "draining" } else { "ready" };
    let body = format!(
      "{{\"Address\":\"127.0.0.1:1\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"{}\",\"Zone\":\"hall\",\
       \"Slots\":{}}},\"Status\":{{\"State\":\"{state}\",\"CallSeq\":{sequence},\"ColdLeft\":\"0ms\"}}}}",
      shared.service, shared.version, shared.slots
    );
    let path = format!("/ferryyoke/instances/{}/heartbeat", shared.id);
    let fields = "Host: control\r\nContent-Type: application/json\r\n";
    let limit = Duration::from_secs(1);
    let answer = ask(shared.control, "POST", &path, fields, body.as_bytes(), limit);
    let status = answer.as_ref().map_or(0, |answer| answer.head.status());
    if is_draining || status != 200 {
      let why = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
      let why = why.unwrap_or_default();
      shared.record.write(format!("report {} {state} answered {status} {why}", shared.id));
    }
    status
  }

  /// Says from now on that it is leaving.
  pub fn drain(&self) {
    self.shared.is_draining.store(true, Ordering::SeqCst);
  }

  /// Ends the process: its connections close.
  pub fn end(&self) {
    self.shared.is_over.store(true, Ordering::SeqCst);
    self.shared.record.write(format!("{} ends", self.shared.id));
    for connection in self.shared.connections.lock().unwrap().drain(..) {
      connection.shutdown(Shutdown::Both).ok();
    }
  }
}

impl Shared {
  fn serve(&self, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = Head::read(&mut reader)? {
      let body = head.body(&mut reader, false)?;
      let (path, id) = (head.word(1), head.field("x-request-id"));
      if path == "/health" {
        let status = if self.is_draining.load(Ordering::SeqCst) { 503 } else { 200 };
        let fields = format!("X-Instance-Id: {}\r\n", self.id);
        stream.write_all(&answer(status, &fields, b""))?;
        continue;
      }
      let expected = head.field("x-expect-instance");
      if !expected.is_empty() && expected != self.id {
        let fields = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
        stream.write_all(&answer(421, &fields, b""))?;
        continue;
      }
      let plan = (self.planner)(path);
      self.record.run(id, &self.id);
      let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
      thread::sleep(plan.work);
      self.running.fetch_sub(1, Ordering::SeqCst);
      let fields = format!(
        "X-Request-Id: {id}\r\nX-Response-Seal: {}.{id}.{}\r\nX-Server-Load: {running},0,{}\r\n",
        self.id,
        body.len(),
        self.slots
      );
      self.record.write(format!("ready {id} at {}", self.id));
      let answer = answer(200, &fields, &vec![b'x'; plan.bytes]);
      for piece in answer.chunks(answer.len().div_ceil(10)) {
        stream.write_all(piece)?;
        if !plan.sends_for.is_zero() {
          thread::sleep(plan.sends_for / 10);
        }
      }
    }
    Ok(())
  }
}

fn answer(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
  let length = body.len();
  let head = format!("HTTP/1.1 {status} Answer\r\n{fields}Content-Length: {length}\r\n\r\n");
  [head.as_bytes(), body].concat()
}
