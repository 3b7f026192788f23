//! Organisations: identification by key, and fleet-wide rate limits enforced with tokens drawn from one daemon's
//! ledger.

mod support;

use {
  ferryyoke::{
    configuration::{Configuration, Organisation, Patch, RateLimit, Revised},
    organisations::{Admission, Grant, KeyFault, KeyRing, RateLimits},
    values::{BoxId, KeyDigest, OrganisationName, Rate, Time},
  },
  http::HeaderValue,
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::collections::{BTreeMap, BTreeSet},
};

/// The size of the largest fleet in these tests.
const BOXES_MAX: usize = 75;
/// The latency between two daemons in milliseconds.
const DELAY_MS: u64 = 2;
/// Milliseconds after which a draw without an answer fails.
const DRAW_TIMEOUT_MS: u64 = 200;
/// The window in milliseconds over which admitted requests are counted.
const WINDOW_MS: u64 = 5_000;

fn name(text: &str) -> OrganisationName {
  text.parse().expect("a name")
}

fn box_id(index: usize) -> BoxId {
  format!("box-{index}").parse().expect("a name")
}

fn limit(per_s: f64, burst: u64) -> RateLimit {
  RateLimit { burst, rate: Rate::per_s(per_s).expect("a rate") }
}

fn configuration(keys: &[(&str, &str)]) -> Configuration {
  let mut configuration = Configuration::default();
  for (organisation, key) in keys {
    let value = Organisation {
      keys: BTreeSet::from([KeyDigest::of(key.as_bytes())]),
      owner: "team".parse().expect("a name"),
      priority: Some(1),
      rate_limit: None,
      regions: BTreeSet::new(),
    };
    let revised = Revised { revision: Patch::SOURCE_REVISION, value };
    configuration.organisations.insert(name(organisation), revised);
  }
  configuration
}

#[test]
fn only_an_exact_key_identifies_an_organisation() {
  let ring = KeyRing::new(&configuration(&[("council", "secret-1"), ("parish", "secret-2")]));
  let identify = |text: &str| {
    let value = HeaderValue::from_str(text).expect("a value");
    ring.identify(Some(&value)).map(|member| member.organisation.to_string())
  };
  assert_eq!(identify("Bearer secret-2"), Ok("parish".into()));
  assert_eq!(identify("bearer  secret-1 "), Ok("council".into()));
  for wrong in ["Bearer secret", "Bearer secret-11", "Bearer SECRET-1"] {
    assert_eq!(identify(wrong), Err(KeyFault::Unknown), "{wrong}");
  }
  for wrong in ["", "Bearer", "Bearer ", "Basic secret-1", "secret-1"] {
    assert_eq!(identify(wrong), Err(KeyFault::Missing), "{wrong}");
  }
  assert_eq!(ring.identify(None).err(), Some(KeyFault::Missing));
}

/// Removing the last key of the only organisation must not turn off authentication.
#[test]
fn keys_are_needed_even_if_no_organisation_holds_one() {
  assert!(!KeyRing::new(&Configuration::default()).is_needed());
  let mut configuration = configuration(&[("council", "secret-1")]);
  for organisation in configuration.organisations.values_mut() {
    organisation.value.keys.clear();
  }
  let ring = KeyRing::new(&configuration);
  assert!(ring.is_needed());
  let value = HeaderValue::from_static("Bearer secret-1");
  assert_eq!(ring.identify(Some(&value)).err(), Some(KeyFault::Unknown));
}

/// Any header value can be checked, and only the exact key is accepted.
#[test]
fn arbitrary_bytes_are_rejected_as_a_key() {
  let ring = KeyRing::new(&configuration(&[("council", "secret-1")]));
  support::histories(500, |u| {
    let bytes: Vec<u8> = u.arbitrary()?;
    if let Ok(value) = HeaderValue::from_bytes(&bytes) {
      let is_key = value.as_bytes() == b"Bearer secret-1";
      assert_eq!(ring.identify(Some(&value)).is_ok(), is_key, "{value:?}");
    }
    Ok(())
  });
}

/// Sets the present boxes and the number of lost boxes at a daemon.
fn set_boxes(daemon: &mut RateLimits<OrganisationName>, now: u64, boxes: &[BoxId], lost: usize) {
  for index in 0..BOXES_MAX {
    let box_id = box_id(index);
    daemon.set_box(Time(now), &box_id, boxes.contains(&box_id));
  }
  daemon.set_lost_boxes(lost);
}

/// A message between daemons that is in flight.
enum Message {
  Answer { grant: Option<Grant>, organisation: OrganisationName, to: usize, wanted: u64 },
  Draw { from: usize, owner: BoxId, organisation: OrganisationName, wanted: u64 },
}

/// Simulated daemons with rate limits, in virtual time.
struct Fleet {
  /// The times at which requests of each organisation were admitted.
  admitted: BTreeMap<OrganisationName, Vec<u64>>,
  in_flight: BTreeMap<(u64, u64), Message>,
  /// Daemons that are partitioned from all others.
  cut: BTreeSet<usize>,
  daemons: BTreeMap<usize, RateLimits<OrganisationName>>,
  draws: usize,
  sequence: u64,
  limits: BTreeMap<OrganisationName, RateLimit>,
  now: u64,
  refused: BTreeMap<OrganisationName, usize>,
  rng: ChaCha8Rng,
}

impl Fleet {
  fn new(boxes: usize, limits: &[(&str, RateLimit)]) -> Self {
    let mut fleet = Self {
      admitted: BTreeMap::new(),
      in_flight: BTreeMap::new(),
      cut: BTreeSet::new(),
      daemons: (0..boxes).map(|index| (index, RateLimits::default())).collect(),
      draws: 0,
      sequence: 0,
      limits: limits.iter().map(|(organisation, limit)| (name(organisation), *limit)).collect(),
      now: 1_000,
      refused: BTreeMap::new(),
      rng: ChaCha8Rng::seed_from_u64(11),
    };
    fleet.set_all_boxes(0);
    fleet.now = 20_000;
    fleet
  }

  /// Tells all daemons which boxes are present and how many are lost.
  fn set_all_boxes(&mut self, lost: usize) {
    let boxes: Vec<BoxId> = self.daemons.keys().map(|index| box_id(*index)).collect();
    for daemon in self.daemons.values_mut() {
      set_boxes(daemon, self.now, &boxes, lost);
    }
  }

  fn schedule(&mut self, at: u64, message: Message) {
    self.sequence += 1;
    self.in_flight.insert((at, self.sequence), message);
  }

  /// Runs for a time with requests at random boxes. `demand` gives requests per second of each organisation.
  fn run(&mut self, duration_ms: u64, demand: &[(&str, f64)]) {
    let until = self.now + duration_ms;
    while self.now < until {
      self.now += 1;
      while let Some(first) = self.in_flight.first_entry().filter(|one| one.key().0 <= self.now) {
        let message = first.remove();
        self.deliver(message);
      }
      for (organisation, per_s) in demand {
        let whole = (per_s / 1_000.0).floor();
        let part = per_s / 1_000.0 - whole;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = whole as usize + usize::from(self.rng.random_bool(part));
        (0..count).for_each(|_| self.arrive(&name(organisation)));
      }
    }
  }

  fn arrive(&mut self, organisation: &OrganisationName) {
    let place = self.rng.random_range(0..self.daemons.len());
    let at = *self.daemons.keys().nth(place).expect("a daemon");
    let (now, limit) = (Time(self.now), self.limits[organisation]);
    let daemon = self.daemons.get_mut(&at).expect("it runs");
    let arrived = daemon.arrive(now, organisation, limit, organisation.clone());
    if let Some(admission) = arrived.admission {
      self.settle(organisation, admission);
    }
    if let Some(wanted) = arrived.draw {
      self.draw(at, organisation, wanted);
    }
  }

  fn settle(&mut self, organisation: &OrganisationName, admission: Admission) {
    match admission {
      Admission::Admitted => self.admitted.entry(organisation.clone()).or_default().push(self.now),
      Admission::Refused { retry_after_ms } => {
        assert!((1..=5_000).contains(&retry_after_ms), "{retry_after_ms}");
        *self.refused.entry(organisation.clone()).or_default() += 1;
      }
    }
  }

  fn draw(&mut self, from: usize, organisation: &OrganisationName, wanted: u64) {
    self.draws += 1;
    let owner = self.daemons[&from].ledger_owner(organisation).cloned().expect("a owner");
    let organisation = organisation.clone();
    self.schedule(self.now + DELAY_MS, Message::Draw { from, owner, organisation, wanted });
  }

  fn deliver(&mut self, message: Message) {
    let now = Time(self.now);
    match message {
      Message::Draw { from, owner, organisation, wanted } => {
        let limit = self.limits[&organisation];
        let is_cut = |index: usize| index != from && self.cut.contains(&index);
        let at = self.daemons.keys().copied().find(|index| box_id(*index) == owner);
        let at = at.filter(|at| !is_cut(*at) && (*at == from || !self.cut.contains(&from)));
        let kept = at.and_then(|at| self.daemons.get_mut(&at));
        let grant = kept.map(|daemon| daemon.draw(now, &organisation, limit, wanted));
        let after_ms = if grant.is_some() { DELAY_MS } else { DRAW_TIMEOUT_MS };
        self
          .schedule(self.now + after_ms, Message::Answer { grant, organisation, to: from, wanted });
      }
      Message::Answer { grant, organisation, to, wanted } => {
        let limit = self.limits[&organisation];
        let Some(daemon) = self.daemons.get_mut(&to) else {
          return;
        };
        let woken = daemon.draw_completed(now, &organisation, limit, wanted, grant);
        for (waiter, admission) in woken.settled {
          self.settle(&waiter, admission);
        }
        if let Some(more) = woken.draw {
          self.draw(to, &organisation, more);
        }
      }
    }
  }

  /// Stops the daemon that owns an organisation's ledger without telling the others.
  fn stop_ledger_owner(&mut self, organisation: &str) {
    let owner = self.daemons[&0].ledger_owner(&name(organisation)).cloned();
    self.daemons.retain(|index, _| Some(box_id(*index)) != owner);
  }

  /// The most admitted requests of an organisation within any window.
  fn most_in_window(&self, organisation: &str) -> usize {
    let admitted = self.admitted.get(&name(organisation)).map_or(&[][..], Vec::as_slice);
    let within = |from: usize| admitted.partition_point(|at| *at <= admitted[from] + WINDOW_MS);
    (0..admitted.len()).map(|from| within(from) - from).max().unwrap_or_default()
  }

  fn assert_bound(&self, organisation: &str) {
    let limit = self.limits[&name(organisation)];
    #[allow(clippy::cast_precision_loss)]
    let bound = (limit.rate.requests_per_s() * 5.0 + limit.burst as f64) * 1.1 + 20.0;
    #[allow(clippy::cast_precision_loss)]
    let most = self.most_in_window(organisation) as f64;
    assert!(most <= bound, "{most} requests of {organisation} in a window, the bound is {bound}");
  }

  fn refused(&self, organisation: &str) -> usize {
    self.refused.get(&name(organisation)).copied().unwrap_or_default()
  }

  fn served(&self, organisation: &str) -> usize {
    self.admitted.get(&name(organisation)).map_or(0, Vec::len)
  }
}

/// The limits (requests per second and burst) of a large organisation and of a small one with rare requests.
const LIMITS: [(&str, RateLimitOf); 2] = [("large", (400.0, 400)), ("small", (5.0, 5))];

type RateLimitOf = (f64, u64);

fn limits() -> Vec<(&'static str, RateLimit)> {
  LIMITS.map(|(organisation, (per_s, burst))| (organisation, limit(per_s, burst))).to_vec()
}

/// Demand of about five eighths of each limit, at random boxes.
#[test]
fn nothing_is_refused_below_the_limit() {
  for boxes in [1, 13, 75] {
    let mut fleet = Fleet::new(boxes, &limits());
    fleet.run(20_000, &[("large", 250.0), ("small", 3.0)]);
    let asked = fleet.served("large") + fleet.refused("large");
    assert!(fleet.refused("large") * 200 <= asked, "{boxes}: {} refused", fleet.refused("large"));
    assert!(fleet.refused("small") <= 2, "{boxes}: {} refused", fleet.refused("small"));
    assert!(fleet.draws <= asked + 100, "{boxes}: {} draws for {asked} requests", fleet.draws);
  }
}

/// One organisation sends many times its usual load. It gets its limit, and the other one gets all it asks for.
#[test]
fn an_organisation_over_its_limit_gets_its_limit() {
  for boxes in [1, 13, 75] {
    let mut fleet = Fleet::new(boxes, &limits());
    fleet.run(5_000, &[("large", 250.0), ("small", 3.0)]);
    fleet.run(10_000, &[("large", 1_900.0), ("small", 3.0)]);
    fleet.assert_bound("large");
    let served = fleet.served("large");
    assert!(served >= 250 * 4 + 400 * 9, "{boxes}: {served} served of the large one");
    assert!(fleet.refused("small") <= 2, "{boxes}: {} refused", fleet.refused("small"));
    let mut fleet = Fleet::new(boxes, &limits());
    fleet.run(10_000, &[("small", 40.0)]);
    fleet.assert_bound("small");
    assert!(fleet.served("small") >= 45, "{boxes}: {} served", fleet.served("small"));
  }
}

/// The burst must not be given out again by the next owner of the ledger, nor by daemons that can't reach the ledger.
#[test]
fn the_limit_holds_when_the_owner_of_the_ledger_stops() {
  for organisation in ["large", "small"] {
    let mut fleet = Fleet::new(40, &limits());
    let demand = [("large", 1_900.0), ("small", 40.0)];
    fleet.run(3_000, &demand);
    for _ in 0..3 {
      fleet.stop_ledger_owner(organisation);
      fleet.run(1_000, &demand);
      fleet.set_all_boxes(1);
      fleet.run(4_000, &demand);
    }
    fleet.assert_bound("large");
    fleet.assert_bound("small");
    assert!(fleet.served("large") >= 400 * 14, "{} served", fleet.served("large"));
  }
}

/// Partitioned daemons spend an equal share each. The ledger reserves these shares once the daemons are lost.
#[test]
fn the_limit_holds_while_a_third_of_the_fleet_is_partitioned() {
  let mut fleet = Fleet::new(60, &limits());
  let demand = [("large", 1_900.0), ("small", 30.0)];
  fleet.run(3_000, &demand);
  fleet.cut = (0..20).collect();
  fleet.run(3_000, &demand);
  let others: Vec<BoxId> = (20..60).map(box_id).collect();
  for daemon in (20..60).collect::<Vec<usize>>() {
    let daemon = fleet.daemons.get_mut(&daemon).expect("it runs");
    set_boxes(daemon, fleet.now, &others, 20);
  }
  fleet.run(9_000, &demand);
  fleet.assert_bound("large");
  fleet.assert_bound("small");
}

/// A lowered limit also applies to tokens that are already held.
#[test]
fn a_lowered_limit_applies_at_once() {
  let mut fleet = Fleet::new(30, &limits());
  fleet.run(5_000, &[("large", 250.0)]);
  fleet.limits.insert(name("large"), limit(50.0, 50));
  fleet.run(1_000, &[("large", 250.0)]);
  fleet.admitted.clear();
  fleet.run(10_000, &[("large", 250.0)]);
  fleet.assert_bound("large");
  assert!(fleet.served("large") >= 50 * 9, "{} served", fleet.served("large"));
}

/// Requests that reached no backend server don't count against the limit.
#[test]
fn a_returned_token_admits_another_request() {
  let mut limits: RateLimits<()> = RateLimits::default();
  let (now, organisation, limit) = (Time(0), name("council"), limit(1.0, 1));
  limits.set_box(now, &box_id(0), true);
  assert_eq!(limits.arrive(now, &organisation, limit, ()).draw, Some(1));
  let grant = limits.draw(now, &organisation, limit, 1);
  let woken = limits.draw_completed(now, &organisation, limit, 1, Some(grant));
  let refused = Admission::Refused { retry_after_ms: grant.retry_after_ms };
  let first = if grant.tokens > 0 { Admission::Admitted } else { refused };
  assert_eq!(woken.settled, [((), first)]);
  limits.return_token(now, &organisation, now);
  let arrived = limits.arrive(now, &organisation, limit, ());
  assert_eq!(arrived.admission, Some(Admission::Admitted));
}

/// Guards against tokens that requests hold while they wait for room, and that are spent again in a
/// later window: together with those of that window they exceed the limit.
#[test]
fn a_token_held_beyond_its_lifetime_does_not_return() {
  const HELD: u64 = 20;
  let mut limits: RateLimits<u64> = RateLimits::default();
  let (organisation, limit) = (name("council"), limit(100.0, 200));
  limits.set_box(Time(0), &box_id(0), true);
  let start = Time(10_000);
  let (mut admitted, mut draw) = (0, None);
  for waiter in 0..HELD {
    let arrived = limits.arrive(start, &organisation, limit, waiter);
    admitted += u64::from(arrived.admission.is_some());
    draw = draw.or(arrived.draw);
  }
  while let Some(wanted) = draw {
    let grant = limits.draw(start, &organisation, limit, wanted);
    let woken = limits.draw_completed(start, &organisation, limit, wanted, Some(grant));
    admitted += woken.settled.len() as u64;
    draw = woken.draw;
  }
  assert_eq!(admitted, HELD);
  let later = start.after(3_000);
  for _ in 0..HELD {
    limits.return_token(later, &organisation, start);
  }
  let arrived = limits.arrive(later, &organisation, limit, HELD);
  assert_eq!(arrived.admission, None, "a token of three seconds before admits it");
}
