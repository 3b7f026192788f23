//! Tests how a box's network link is shared among the large answers that it sends, without sockets.
//!
//! The load is exports of 90 KB, up to 540 KB, on a link of 15 Mbit/s, at 60 to 130 percent of what
//! it carries, with answers of 400 bytes between them. The link is simulated byte by byte beside the
//! schedule's own model.

use {
  ferryyoke::{
    requests::{OutboundSchedule, OutboundTurn, Ticket},
    values::Time,
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::collections::BTreeMap,
};

/// Rate of the link in megabits a second.
const LINK_MBPS: f64 = 15.0;

/// The same rate in bytes a millisecond.
const BYTES_PER_MS: f64 = 1_875.0;

/// Usual size of an export.
const EXPORT_BYTES: u64 = 90_000;

/// Largest size of an export.
const EXPORT_BYTES_MAX: u64 = 540_000;

/// Size of a small answer with its head.
const SMALL_BYTES: u64 = 900;

/// Longest wait of a small answer: two milliseconds of queue at which a piece is handed to the link,
/// four of the piece, one of the clock's precision, and one of another small answer.
const SMALL_WAIT_MAX_MS: f64 = 8.0;

/// Bytes of small answers a millisecond: one about every 20 ms.
const SMALL_BYTES_PER_MS: f64 = 45.0;

/// Milliseconds for which others may overtake an export.
const OVERTAKEN_MAX_MS: u64 = 1_000;

/// Milliseconds in which an export is due.
const DUE_MS: u64 = 800;

/// Length of a play in milliseconds.
const PLAY_MS: u64 = 20_000;

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
  count as f64
}

/// How a reader takes its answer.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Reader {
  /// Leaves after this many bytes.
  Leaves(u64),
  /// Takes all at once.
  Steady,
  /// Takes this many bytes, and then none.
  Stops(u64),
}

/// An export on its way.
struct Export {
  arrived: Time,
  bytes: u64,
  due: Time,
  /// Longest time in milliseconds after which a steady reader has it.
  longest_ms: f64,
  reader: Reader,
  sent_bytes: u64,
}

impl Export {
  fn may_ask(&self) -> bool {
    self.sent_bytes < self.bytes
      && match self.reader {
        Reader::Stops(most_bytes) => self.sent_bytes < most_bytes,
        Reader::Leaves(_) | Reader::Steady => true,
      }
  }

  fn is_starved(&self, now: Time) -> bool {
    to_f64(now.since_ms(self.arrived)) > self.longest_ms
  }

  fn is_over(&self) -> bool {
    self.sent_bytes >= self.bytes
      || matches!(self.reader, Reader::Leaves(most_bytes) if self.sent_bytes >= most_bytes)
  }
}

/// A link, the schedule in front of it, and what was measured.
struct Play {
  exports: BTreeMap<Ticket, Export>,
  /// Bytes in front of the real link.
  queued_bytes: f64,
  /// Greatest number of exports begun and not over, of steady readers.
  begun_most: usize,
  in_time: usize,
  schedule: OutboundSchedule,
  sent_bytes: u64,
  small_wait_most_ms: f64,
  tickets: u64,
  /// Exports that took longer than [`Export::longest_ms`].
  starved: usize,
  whole: usize,
}

impl Play {
  fn new() -> Self {
    Self {
      exports: BTreeMap::new(),
      queued_bytes: 0.0,
      begun_most: 0,
      in_time: 0,
      schedule: OutboundSchedule::new(LINK_MBPS),
      sent_bytes: 0,
      small_wait_most_ms: 0.0,
      tickets: 0,
      starved: 0,
      whole: 0,
    }
  }

  fn arrive(&mut self, now: Time, bytes: u64, due: Time, reader: Reader) {
    self.tickets += 1;
    let ticket = Ticket(self.tickets);
    self.schedule.arrive(now, ticket, bytes, due);
    let longest_ms = self.longest_ms(bytes);
    let export = Export { arrived: now, bytes, due, longest_ms, reader, sent_bytes: 0 };
    self.exports.insert(ticket, export);
  }

  /// Milliseconds within which an export that arrives now is sent: others overtake it for a second.
  /// Then it waits for what was there before it and for the largest that was begun meanwhile, and
  /// takes turns with one other.
  fn longest_ms(&self, bytes: u64) -> f64 {
    let left = |one: &Export| one.bytes - one.sent_bytes;
    let before: u64 = self.exports.values().map(left).sum();
    let link_bytes = self.queued_bytes + to_f64(before + EXPORT_BYTES_MAX + 2 * bytes);
    to_f64(OVERTAKEN_MAX_MS) + link_bytes / (BYTES_PER_MS - SMALL_BYTES_PER_MS) + SMALL_WAIT_MAX_MS
  }

  fn send_small(&mut self, now: Time) {
    self.small_wait_most_ms = self.small_wait_most_ms.max(self.queued_bytes / BYTES_PER_MS);
    self.schedule.count_small(now, SMALL_BYTES);
    self.queued_bytes += to_f64(SMALL_BYTES);
  }

  /// Lets the bodies take their turns of one millisecond, and the link carry what it carries in it.
  fn pass_ms(&mut self, now: Time) {
    loop {
      for (ticket, export) in self.exports.iter().filter(|(_, export)| export.may_ask()) {
        self.schedule.ask(*ticket, export.bytes - export.sent_bytes);
      }
      let OutboundTurn::Send(ticket) = self.schedule.next(now) else {
        break;
      };
      let granted = self.schedule.take_grant(ticket);
      assert!(granted > 0, "a turn carries bytes");
      let export = self.exports.get_mut(&ticket).expect("a body that asked");
      export.sent_bytes += granted;
      self.sent_bytes += granted;
      self.queued_bytes += to_f64(granted);
      if export.is_over() {
        let export = self.exports.remove(&ticket).expect("it is there");
        self.schedule.leave(ticket);
        self.end(now, &export);
      }
    }
    let is_begun =
      |export: &&Export| export.sent_bytes > 0 && matches!(export.reader, Reader::Steady);
    self.begun_most = self.begun_most.max(self.exports.values().filter(is_begun).count());
    self.queued_bytes = (self.queued_bytes - BYTES_PER_MS).max(0.0);
  }

  fn end(&mut self, now: Time, export: &Export) {
    if export.sent_bytes >= export.bytes {
      self.whole += 1;
      self.in_time += usize::from(now <= export.due);
      self.starved += usize::from(export.is_starved(now));
    }
  }
}

/// Plays exports at `percent` of the link for [`PLAY_MS`], with a small answer about every 20 ms.
fn play(percent: u64, seed: u64, reader: impl Fn(u64) -> Reader) -> Play {
  let mut rng = ChaCha8Rng::seed_from_u64(seed);
  let mut play = Play::new();
  let chance = BYTES_PER_MS * to_f64(percent) / 100.0 / mean_bytes();
  for now in (0..PLAY_MS).map(Time) {
    if rng.random_bool(chance) {
      let bytes = export_bytes(&mut rng);
      let reader = reader(play.tickets);
      play.arrive(now, bytes, now.after(DUE_MS), reader);
    }
    if rng.random_bool(0.05) {
      play.send_small(now);
    }
    play.pass_ms(now);
  }
  play
}

/// One export in twenty has the largest size.
fn export_bytes(rng: &mut ChaCha8Rng) -> u64 {
  if rng.random_bool(0.05) { EXPORT_BYTES_MAX } else { EXPORT_BYTES }
}

fn mean_bytes() -> f64 {
  0.95 * to_f64(EXPORT_BYTES) + 0.05 * to_f64(EXPORT_BYTES_MAX)
}

/// Guards against small answers that wait behind large ones, from light load to overload.
#[test]
fn a_small_answer_waits_for_a_few_milliseconds_at_any_load() {
  for percent in [60, 80, 100, 130] {
    for seed in 0..5 {
      let play = play(percent, seed, |_| Reader::Steady);
      let waited_ms = play.small_wait_most_ms;
      assert!(waited_ms <= SMALL_WAIT_MAX_MS, "{percent}%, seed {seed}: {waited_ms} ms");
    }
  }
}

/// Guards against a link that runs empty while answers wait for it: overload must fill nine tenths.
#[test]
fn a_link_in_overload_is_used() {
  for seed in 0..5 {
    let play = play(130, seed, |_| Reader::Steady);
    let carried = BYTES_PER_MS * to_f64(PLAY_MS);
    assert!(to_f64(play.sent_bytes) >= 0.9 * carried, "seed {seed}: {}", play.sent_bytes);
  }
}

/// Guards against answers that are all late together: below the link's rate most are in time, and
/// few are under way at once.
#[test]
fn few_bodies_are_under_way_at_once() {
  for seed in 0..5 {
    let play = play(60, seed, |_| Reader::Steady);
    assert!(play.begun_most <= 2, "seed {seed}: {} at once", play.begun_most);
    assert!(play.in_time * 100 >= play.whole * 95, "{} of {}", play.in_time, play.whole);
  }
}

/// Guards against an answer that others overtake without end while the link is overloaded: they may
/// for a second, and then it waits only for what came before it.
#[test]
fn no_export_starves_in_overload() {
  for seed in 0..5 {
    let play = play(130, seed, |_| Reader::Steady);
    let waiting = play.exports.values().filter(|one| one.is_starved(Time(PLAY_MS))).count();
    assert_eq!((play.starved, waiting), (0, 0), "seed {seed}, {} whole", play.whole);
  }
}

/// Guards against readers that stop or leave midway and hold up the answers of others.
#[test]
fn a_reader_that_stops_or_leaves_holds_up_no_other() {
  let reader = |number: u64| match number % 10 {
    3 => Reader::Stops(20_000),
    6 => Reader::Stops(0),
    8 => Reader::Leaves(30_000),
    _ => Reader::Steady,
  };
  for seed in 0..5 {
    let play = play(60, seed, reader);
    let waited_ms = play.small_wait_most_ms;
    assert!(waited_ms <= SMALL_WAIT_MAX_MS, "seed {seed}: {waited_ms} ms");
    assert!(play.in_time * 100 >= play.whole * 95, "{} of {}", play.in_time, play.whole);
    let is_late = |one: &&Export| {
      one.reader == Reader::Steady && Time(PLAY_MS).since_ms(one.arrived) > 2 * DUE_MS
    };
    assert_eq!(play.exports.values().filter(is_late).count(), 0, "seed {seed}");
  }
}

/// Guards against a body that was begun and is overtaken until its caller gives up: later ones with
/// less time do not take its turns.
#[test]
fn a_body_that_was_begun_is_finished() {
  let mut play = Play::new();
  play.arrive(Time(0), EXPORT_BYTES_MAX, Time(5_000), Reader::Steady);
  play.pass_ms(Time(0));
  let mut now = Time(1);
  while play.exports.contains_key(&Ticket(1)) && now < Time(5_000) {
    if now.0.is_multiple_of(20) {
      play.arrive(now, EXPORT_BYTES, now.after(100), Reader::Steady);
    }
    play.pass_ms(now);
    now = now.after(1);
  }
  // It shares the link with one other at a time, so it takes at most twice its own time, and one
  // piece of each more.
  let own_ms = to_f64(EXPORT_BYTES_MAX) / (BYTES_PER_MS * 0.95);
  assert!(to_f64(now.0) <= 2.0 * own_ms + 2.0 * SMALL_WAIT_MAX_MS, "{now}, {own_ms} ms alone");
}

/// Guards against an answer that can still be in time and waits behind ones that cannot.
#[test]
fn an_answer_that_can_be_in_time_goes_before_late_ones() {
  let mut play = Play::new();
  for _ in 0..4 {
    play.arrive(Time(0), EXPORT_BYTES, Time(10), Reader::Steady);
  }
  play.pass_ms(Time(0));
  play.arrive(Time(1), EXPORT_BYTES, Time(201), Reader::Steady);
  for now in (1..=201).map(Time) {
    play.pass_ms(now);
  }
  assert!(!play.exports.contains_key(&Ticket(5)), "it went before those that are late");
}

/// Guards against a stop that loses accepted answers: all are sent, at the link's rate.
#[test]
fn what_is_owed_at_a_stop_is_sent_at_the_rate_of_the_link() {
  let mut play = Play::new();
  for _ in 0..10 {
    play.arrive(Time(0), EXPORT_BYTES, Time(DUE_MS), Reader::Steady);
  }
  let owed_ms = play.schedule.owed_ms(Time(0));
  assert!(owed_ms >= 10.0 * to_f64(EXPORT_BYTES) / BYTES_PER_MS, "{owed_ms} ms");
  let mut now = Time(0);
  while !play.exports.is_empty() && now < Time(5_000) {
    play.pass_ms(now);
    now = now.after(1);
  }
  assert_eq!(play.whole, 10);
  assert!(to_f64(now.0) <= owed_ms + SMALL_WAIT_MAX_MS, "{now} of {owed_ms} ms");
  assert_eq!(play.schedule.counts(), (0, 0));
}
