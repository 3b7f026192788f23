//! Requests with a body on a `safe` route, while one backend is slow.

use crate::backend::Content;
use crate::fleet::{exchange, Fleet, Place};
use crate::record::Record;
use crate::Verdict;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Work of a slow backend, in hundredths of the usual: `srv_slow` of the site file goes up to x = 12.0.
const SLOW: u64 = 800;
/// How long they stay slow: `for_s` = 9.0 there at most.
const SLOW_MS: u64 = 6_500;
/// The slow backends: two of six, where the site file has share = 0.4 at most.
const SLOW_ONES: [usize; 2] = [1, 2];
/// Requests a second, of all requesters.
const PER_S: u64 = 200;
/// One of so many requests is a `GET` without a body; the others carry one, in chunks.
const WITHOUT_BODY: u64 = 3;
const WARM_MS: u64 = 8_000;
const PLAY_MS: u64 = 10_000;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-look","Host":"nony93.example",
"PathPrefix":"/puba11/","Kind":"safe","Timeout":"1200ms","TargetLatency":"400ms","Priority":2,
"Service":"archive","MaxAttempts":2}],"Services":[{"Name":"archive","HealthPath":"/health",
"MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["kgl-nyarugenge", "kgl-kacyiru", "kgl-remera"];
  let places: Vec<Place> =
    (0..6).map(|index| Place { zone: zones[index % 3], service: "archive" }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 12));
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    record.line("not all daemons became ready");
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let sent: Arc<Mutex<BTreeMap<String, Content>>> = Arc::default();
  let answered: Arc<Mutex<BTreeMap<String, (u16, String)>>> = Arc::default();
  let started = Instant::now();
  let (mut number, mut senders) = (0u64, Vec::new());
  let slow_from = Duration::from_millis(2_000);
  while started.elapsed() < Duration::from_millis(PLAY_MS) {
    let is_slow = has_trouble
      && started.elapsed() >= slow_from
      && started.elapsed() < slow_from + Duration::from_millis(SLOW_MS);
    let factor = if is_slow { SLOW } else { 100 };
    for slow in SLOW_ONES.map(|index| &fleet.machines[index].backend) {
      if slow.slow.swap(factor, Ordering::SeqCst) != factor {
        record.line(format!("{} now works {factor} hundredths as long as usual", slow.instance));
      }
    }
    number += 1;
    // Requesters of all machines send both kinds.
    let turn = (number + number / 12) as usize;
    let at = fleet.machines[turn % fleet.machines.len()].outbound;
    let (sent, answered, record) = (sent.clone(), answered.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let id = format!("9c41d07b{number:08x}");
      let target = format!("/puba11/{number:x}");
      let has_body = number % WITHOUT_BODY != 0;
      let repeats = if has_body { 40 } else { 0 };
      let body = format!("the words to look for in the minutes, number {number}; ").repeat(repeats);
      let method = if has_body { "PUT" } else { "GET" };
      let content = Content::of(method, &target, body.as_bytes());
      record.line(format!("sends {id} to {at}: {content}"));
      sent.lock().unwrap().insert(id.clone(), content);
      let mut request = format!(
        "{method} {target} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\n"
      );
      if has_body {
        request.push_str("Transfer-Encoding: chunked\r\n\r\n");
        for piece in body.as_bytes().chunks(1_000) {
          let text = String::from_utf8_lossy(piece);
          request.push_str(&format!("{:x}\r\n{text}\r\n", piece.len()));
        }
        request.push_str("0\r\n\r\n");
      } else {
        request.push_str("\r\n");
      }
      match exchange(at, request.as_bytes(), Duration::from_millis(2_500)) {
        Some(answer) => {
          let body = String::from_utf8_lossy(&answer.body).to_string();
          record.line(format!("{id} is answered: {}, {body}", answer.status()));
          answered.lock().unwrap().insert(id, (answer.status(), body));
        }
        None => record.line(format!("{id} gets no answer")),
      }
    }));
    let next = Duration::from_millis(number * 1_000 / PER_S);
    std::thread::sleep(next.saturating_sub(started.elapsed()));
  }
  for sender in senders {
    sender.join().ok();
  }
  let ends: Vec<bool> = fleet.machines.iter().map(|machine| !machine.runs()).collect();
  fleet.end();
  let (sent, answered) = (sent.lock().unwrap().clone(), answered.lock().unwrap().clone());
  judge(&fleet, record, &sent, &answered, &ends)
}

fn judge(
  fleet: &Fleet,
  record: &Record,
  sent: &BTreeMap<String, Content>,
  answered: &BTreeMap<String, (u16, String)>,
  ends: &[bool],
) -> Verdict {
  let (mut changed, mut wrong, mut runs) = (0, 0, 0);
  for machine in &fleet.machines {
    for run in machine.backend.runs.lock().unwrap().iter() {
      runs += 1;
      let asked = sent.get(&run.id);
      if asked != Some(&run.content) {
        changed += 1;
        let asked = asked.map_or("nothing".to_string(), ToString::to_string);
        record.line(format!(
          "UNASKED: {} ran {} at {} ms: {}; sent was {asked}",
          run.instance, run.id, run.at_ms, run.content
        ));
      }
    }
  }
  for (id, (status, body)) in answered {
    let content = &sent[id];
    let right = format!("received {} bytes with sum {:016x}", content.bytes, content.sum);
    if *status == 200 && *body != right {
      wrong += 1;
      record.line(format!("the requester of {id} got a success for another body: {body}"));
    }
  }
  let good = answered.values().filter(|(status, _)| *status == 200).count();
  record.line(format!(
    "{} requests sent, {} answered, {good} with 200; {runs} runs, {changed} of them with a changed \
     body; {wrong} successes for another body than was sent; daemons that ended: {}",
    sent.len(),
    answered.len(),
    ends.iter().filter(|ended| **ended).count()
  ));
  println!("{runs} runs, {changed} with a changed body, {wrong} wrong successes, {good} of {} good", sent.len());
  if good * 2 < sent.len() {
    return Verdict::NotRun;
  }
  if changed > 0 { Verdict::Broken } else { Verdict::Held }
}
