//! Answers that wait behind a slower one of the same connection, on real processes.
//!
//! Guards against such answers being broken off beside their backend servers as if nobody read them: they go back in the
//! order of their requests, so the box that took these reads them later, and others wait for their slots meanwhile.

mod support;

use {
  ferryyoke_soak::platform,
  std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
      mpsc,
    },
    thread,
    time::Duration,
  },
  support::{Answer, Fleet, LOOK_MS, crowd, pause_ms, run, soon},
};

/// Boxes 0 and 2 run reads, 1 and 3 other requests.
const BOXES: usize = 4;

/// Connections that send requests ahead.
const AHEAD: usize = 12;

/// Reads behind the first request of each.
const READS: usize = 3;

/// Bytes of the answer to each of these.
const ANSWER_BYTES: usize = 400_000;

/// Milliseconds that the first request takes: longer than an unread answer keeps its slot.
const SLOW_MS: u64 = 3_000;

/// Callers of short reads, which fill the slots.
const OTHERS: usize = 30;

/// Milliseconds that all callers wait.
const CALLER_MS: u64 = 15_000;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 30_000;

fn head(path: &str, id: &str, work_ms: u64, answer_bytes: usize) -> String {
  format!(
    "GET {path} HTTP/1.1\r\nhost: soak.example\r\n{}: {id}\r\n{}: {CALLER_MS}\r\n{}: {work_ms}\r\n{}: {answer_bytes}\r\n\r\n",
    platform::REQUEST_ID,
    platform::TIME_LEFT_MS,
    platform::WORK_MS,
    platform::ANSWER_BYTES,
  )
}

/// Sends a slow request and reads behind it. Returns how many whole answers come, each with its status.
fn send_ahead(callers: SocketAddr, caller: usize) -> Vec<u16> {
  let mut stream = TcpStream::connect(callers).expect("a connection");
  stream.set_read_timeout(Some(Duration::from_millis(CALLER_MS))).expect("a socket");
  let slow = head("/send/", &format!("slow{caller}"), SLOW_MS, 0);
  let reads = (0..READS).map(|number| {
    head(&format!("/read/{caller}/{number}"), &format!("read{caller}x{number}"), 20, ANSWER_BYTES)
  });
  let requests = slow + &reads.collect::<String>();
  stream.write_all(requests.as_bytes()).expect("sent");
  (0..=READS).map_while(|_| crowd::read_answer(&mut stream)).collect()
}

/// Sends short reads one after the other.
fn send_short(callers: SocketAddr, caller: usize, is_over: &AtomicBool) {
  while !is_over.load(Ordering::SeqCst) {
    let Ok(mut stream) = TcpStream::connect(callers) else {
      return;
    };
    for number in 0..20 {
      let head = head("/read/", &format!("short{caller}x{number}"), 100, 0);
      let is_sent = stream.write_all(head.as_bytes()).is_ok();
      if !is_sent || crowd::read_answer(&mut stream).is_none() {
        break;
      }
    }
  }
}

#[test]
fn answers_behind_a_slow_one_of_their_connection_come_whole() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    fleet.write_timeout(2, "20s");
    for index in 0..BOXES {
      let is_ready =
        |answer: &Answer| answer.is_served() && answer.header("x-ferryyoke-version") == "2";
      fleet.ask_until(index, "/send/", soon(MAX_WAIT_MS), is_ready).await;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for caller in 0..OTHERS {
      let (callers, is_over) = (fleet.boxes[3].callers, is_over.clone());
      thread::spawn(move || send_short(callers, caller, &is_over));
    }
    pause_ms(500).await;
    let (send, received) = mpsc::channel();
    for caller in 0..AHEAD {
      let (callers, send) = (fleet.boxes[1].callers, send.clone());
      thread::spawn(move || send.send(send_ahead(callers, caller)));
    }
    let mut answers: Vec<Vec<u16>> = Vec::new();
    let until = soon(MAX_WAIT_MS);
    while answers.len() < AHEAD {
      assert!(std::time::Instant::now() < until, "{answers:?}");
      answers.extend(received.try_recv());
      pause_ms(LOOK_MS).await;
    }
    is_over.store(true, Ordering::SeqCst);
    let logs: Vec<String> = fleet.boxes.iter().map(ferryyoke_soak::SoakBox::log).collect();
    let stalled =
      logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains("a transfer stalled"));
    println!("{} stalled: {answers:?}", stalled.clone().count());
    assert!(answers.iter().all(|of_one| of_one.len() == READS + 1), "{answers:?}");
    let served = answers.iter().flatten().filter(|status| **status == 200).count();
    assert!(served > AHEAD * READS / 2, "{answers:?}");
    assert!(stalled.count() > 0, "no answer waited for long enough");
  });
}
