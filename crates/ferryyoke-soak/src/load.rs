//! Load at the end of a run, of which only the last part has faults: what is refused, which slots are used, how long short
//! answers take beside large ones, and how much is repeated.

use super::{platform::Trouble, run::Run, *};

/// Requests that come evenly at each box.
struct Load {
  calls: u32,
  kind: Kind,
  /// Milliseconds between two of them at a box.
  pause_ms: Ms,
  work_ms: Ms,
}

/// What the callers of a box saw, each with all attempts of one request.
type Sequences = Vec<Vec<Attempt>>;

/// The reason of a refusal for coming back early.
const EARLY_REASON: &str = "its caller was told to come back later";

impl Run {
  /// Milliseconds for which callers of this load wait.
  const LOAD_TIME_MS: Ms = 1_000;
  /// Milliseconds of each stage but the burst and the one after it.
  const STAGE_MS: Ms = 2_500;
  /// Milliseconds of light load after the burst.
  const AFTER_MS: Ms = 3_500;
  /// Milliseconds of the burst: by its end, slots left free for calls are used again.
  const BURST_MS: Ms = 7_500;
  /// Milliseconds for which slots must have stood free.
  const FREE_MS: Ms = 1_000;
  /// Milliseconds at the end of the burst in which each backend server must use all slots at once.
  const USED_MS: Ms = 1_500;
  /// Short messages in a hundred that may wait longer than the rule says, for pieces that come together on a busy machine.
  const LONGER_PERCENT: usize = 10;
  /// Shortest wait told in milliseconds for which an immediate return is early on any machine.
  const TOLD_MIN_MS: Ms = 150;

  pub(super) async fn check_load(self: &Rc<Self>, seed: u64) {
    let all = self.check_room(seed).await;
    self.check_short_answers(seed).await;
    self.send_while_runs_fail(seed).await;
    // Daemons have written their logs by now.
    self.check_early(&all);
    self.record.borrow_mut().attempts.extend(all.into_iter().flatten());
  }

  /// Sends calls beside long runs, then a burst at the called service, then light load.
  async fn check_room(self: &Rc<Self>, seed: u64) -> Sequences {
    let (light, long) = (Kind::Read, Kind::Send);
    let with_calls = [
      Load { calls: 1, kind: light, pause_ms: 100, work_ms: 60 },
      Load { calls: 0, kind: long, pause_ms: 200, work_ms: 300 },
    ];
    // Runs of 300 ms for twice the slots.
    let burst = [
      Load { calls: 0, kind: light, pause_ms: 100, work_ms: 60 },
      Load { calls: 0, kind: long, pause_ms: 37, work_ms: 300 },
    ];
    let after = [
      Load { calls: 0, kind: light, pause_ms: 100, work_ms: 60 },
      Load { calls: 0, kind: long, pause_ms: 100, work_ms: 60 },
    ];
    let mut all = self.send(seed, Self::STAGE_MS, &with_calls).await;
    self.check_refusals("beside calls", &all);
    let burst_until_ms = self.now() + Self::BURST_MS;
    let in_burst = self.send(seed, Self::BURST_MS, &burst).await;
    self.check_used(burst_until_ms);
    self.check_refusals("in a burst", &in_burst);
    let after_burst = self.send(seed, Self::AFTER_MS, &after).await;
    self.check_refusals("after a burst", &after_burst);
    all.extend(in_burst.into_iter().chain(after_burst));
    all
  }

  /// Sends loads at all boxes. One caller in five comes back at once.
  async fn send(self: &Rc<Self>, seed: u64, for_ms: Ms, loads: &[Load]) -> Sequences {
    let until_ms = self.now() + for_ms;
    let sending = (0..self.boxes.len()).flat_map(|index| {
      loads.iter().enumerate().map(move |(number, load)| {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 8 ^ (number as u64) << 16);
        self.send_at(index, load, rng, until_ms)
      })
    });
    futures_util::future::join_all(sending).await.into_iter().flatten().collect()
  }

  async fn send_at(
    self: &Rc<Self>,
    index: usize,
    load: &Load,
    mut rng: ChaCha8Rng,
    until_ms: Ms,
  ) -> Sequences {
    let pool = Rc::new(web::Pool::new(1_000));
    let mut sent = Vec::new();
    while self.now() < until_ms {
      let mut asked = load.kind.ask(&mut rng);
      // Its own path, so that no other caller's refusal is taken for its own.
      asked.path = format!("{}load-{:x}", load.kind.path(), rand::random::<u64>());
      // No rate limit holds these.
      asked.headers = vec![
        (platform::KEY, platform::key(0)),
        (platform::CALLS, load.calls.to_string()),
        (platform::WORK_MS, load.work_ms.to_string()),
      ];
      let (run, pool, is_early) = (self.clone(), pool.clone(), rng.random_bool(0.2));
      sent.push(monoio::spawn(async move {
        run.attempt_again(&pool, index, &asked, Self::LOAD_TIME_MS, is_early).await
      }));
      monoio::time::sleep(Duration::from_millis(load.pause_ms)).await;
    }
    futures_util::future::join_all(sent).await
  }

  /// Checks that each backend server of the burst used all slots at once in its last part.
  fn check_used(&self, until_ms: Ms) {
    let service = SoakBox::service_of(Kind::Send);
    let from_ms = until_ms - Self::USED_MS;
    for one in self.boxes.iter().filter(|one| one.service() == service) {
      let process = one.backend_server.process();
      let most =
        self.record.borrow().most_running(from_ms, until_ms, |run| run.instance == process);
      if most < platform::BackendServer::SLOTS as usize {
        let seen = format!("{process} ran {most} at once at most in a burst, after calls stopped");
        self.violate("slots left free for calls are used again", seen);
      }
    }
  }

  /// Checks that nothing was refused for lack of room while a quarter of its service's slots stood free for a second.
  fn check_refusals(&self, stage: &str, all: &Sequences) {
    let is_for_room = |one: &&Attempt| {
      let is_early = one.refusal.as_ref().is_some_and(|refusal| refusal.reason == EARLY_REASON);
      one.outcome == Outcome::NotRun(503) && !is_early
    };
    for one in all.iter().flatten().filter(is_for_room) {
      let service = SoakBox::service_of(one.kind);
      let servers = self.boxes.iter().filter(|one| one.service() == service).count();
      let slots = servers * platform::BackendServer::SLOTS as usize;
      let from_ms = one.ended_ms.saturating_sub(Self::FREE_MS);
      let most =
        self.record.borrow().most_running(from_ms, one.ended_ms, |run| run.service == service);
      if most * 4 <= slots * 3 {
        let seen = format!(
          "{stage}: {} was refused at {} ms ({:?}), and at most {most} of {slots} slots were used for a second",
          one.id, one.ended_ms, one.refusal
        );
        self.violate("nothing is refused while a quarter of the slots stands free", seen);
      }
    }
  }

  /// Checks that callers that came back at once were refused without a try.
  fn check_early(&self, all: &Sequences) {
    let mut tries = BTreeMap::new();
    for one in &self.boxes {
      tries.extend(tries_by_id(&one.log()));
    }
    for sequence in all {
      let [first, second, ..] = sequence.as_slice() else {
        continue;
      };
      let Some(refusal) = first.refusal.as_ref().filter(|_| first.outcome == Outcome::NotRun(503))
      else {
        continue;
      };
      let told_ms = refusal.retry_after_ms.unwrap_or(0).min(second.time_left_ms / 3);
      let is_early = second.sent_ms < first.ended_ms + told_ms / 2 && told_ms >= Self::TOLD_MIN_MS;
      let tried = tries.get(&second.id).copied();
      let is_early_reason =
        second.refusal.as_ref().is_some_and(|refusal| refusal.reason == EARLY_REASON);
      let is_untried = tried.map_or(is_early_reason, |tries| tries == 0);
      let is_refused = second.outcome == Outcome::NotRun(503) && is_untried;
      if is_early && !is_refused {
        let seen = format!(
          "{} came back {} ms after its refusal, told {told_ms} ms: {:?}, {tried:?} tries",
          second.id,
          second.sent_ms - first.ended_ms,
          second.outcome
        );
        self.violate("early returns cost no try", seen);
      }
    }
  }

  /// Checks short answers beside large ones that ask for more than the links carry.
  async fn check_short_answers(self: &Rc<Self>, seed: u64) {
    const LARGE_BYTES: std::ops::Range<usize> = 20_000..40_000;
    const LARGE_PAUSE_MS: Ms = 15;
    const SHORT_PAUSE_MS: Ms = 50;
    let until_ms = self.now() + Self::STAGE_MS;
    for one in &self.boxes {
      one.take_ahead(0);
    }
    // The boxes that cannot serve the reads themselves.
    let service = SoakBox::service_of(Kind::Read);
    let others = || self.boxes.iter().filter(|one| one.service() != service);
    let large = others().map(|one| async {
      let mut rng = ChaCha8Rng::seed_from_u64(seed ^ one.index as u64);
      let mut sent = Vec::new();
      while self.now() < until_ms {
        let (run, index, bytes) = (self.clone(), one.index, rng.random_range(LARGE_BYTES));
        sent.push(monoio::spawn(async move { run.download(index, bytes).await }));
        monoio::time::sleep(Duration::from_millis(LARGE_PAUSE_MS)).await;
      }
      futures_util::future::join_all(sent).await;
    });
    let load = Load { calls: 0, kind: Kind::Read, pause_ms: SHORT_PAUSE_MS, work_ms: 2 };
    let short = others().map(|one| {
      let rng = ChaCha8Rng::seed_from_u64(seed ^ (one.index as u64) << 8);
      self.send_at(one.index, &load, rng, until_ms)
    });
    let large = futures_util::future::join_all(large);
    let short = futures_util::future::join_all(short);
    let both = futures_util::future::join(large, short);
    let ((_, short), stalls_ms) = futures_util::future::join(both, self.stalls_ms(until_ms)).await;
    let short: Vec<Attempt> = short.into_iter().flatten().flatten().collect();
    let mut measured = 0;
    for one in &self.boxes {
      let (ahead, may) = one.take_ahead(stalls_ms);
      measured += ahead.len();
      let longer = ahead.iter().filter(|bytes| **bytes > may).count();
      if longer * 100 > ahead.len() * Self::LONGER_PERCENT {
        let most = ahead.iter().max();
        let seen = format!(
          "at box {} {longer} of {} short messages had over {may} bytes ahead, {most:?} at most",
          one.index,
          ahead.len()
        );
        self.violate("short answers do not wait behind large ones", seen);
      }
    }
    if measured == 0 {
      self.violate("the soak itself works", "no short message crossed a link".into());
    }
    self.record.borrow_mut().attempts.extend(short);
  }

  /// Returns the milliseconds until `until_ms` for which this process, and with it the proxies' links, stood still, while
  /// daemons went on to send at the links' rates.
  async fn stalls_ms(&self, until_ms: Ms) -> Ms {
    const LOOK_MS: Ms = 5;
    /// Milliseconds by which a timer may be late on an idle machine.
    const LATE_MS: Ms = 5;
    let mut stalls_ms = 0;
    while self.now() < until_ms {
      let before_ms = self.now();
      monoio::time::sleep(Duration::from_millis(LOOK_MS)).await;
      let late_ms = (self.now() - before_ms).saturating_sub(LOOK_MS);
      stalls_ms += if late_ms > LATE_MS { late_ms } else { 0 };
    }
    stalls_ms
  }

  /// Sends reads while their backend servers give no answer or reset the connection after most runs. The record is checked
  /// for repeats beyond their share.
  async fn send_while_runs_fail(self: &Rc<Self>, seed: u64) {
    let service = SoakBox::service_of(Kind::Read);
    let set = |trouble: Trouble| {
      for one in self.boxes.iter().filter(|one| one.service() == service) {
        one.backend_server.set_trouble(trouble);
      }
    };
    set(Trouble { mute_share: 0.5, reset_share: 0.5, ..Trouble::default() });
    let load = [Load { calls: 0, kind: Kind::Read, pause_ms: 40, work_ms: 20 }];
    let all = self.send(seed, Self::STAGE_MS, &load).await;
    set(Trouble::default());
    self.record.borrow_mut().attempts.extend(all.into_iter().flatten());
  }
}

/// Reads the number of tries of each request from a daemon's log. A daemon drops lines rather than wait for its log.
fn tries_by_id(log: &str) -> BTreeMap<String, u64> {
  let lines = log.lines().filter(|line| line.contains("\"tries\":"));
  let read = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
  let pair = |line: serde_json::Value| {
    Some((line["request_id"].as_str()?.to_string(), line["tries"].as_u64()?))
  };
  read.filter_map(pair).collect()
}
