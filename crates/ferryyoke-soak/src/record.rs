use super::*;

/// Everything that callers, backend servers and operators observed in one run.
#[derive(Default)]
pub struct Record {
  /// The callers' requests and their outcomes.
  pub attempts: Vec<Attempt>,
  /// When the store accepted each added route, by the route's number.
  pub changes: Vec<Ms>,
  /// Number of crashing requests (requests that end backend servers).
  pub crashing_requests: usize,
  /// When a daemon acknowledged that an instance drains, by process.
  pub left: BTreeMap<String, Ms>,
  /// Probes for added routes.
  pub probes: Vec<Probe>,
  /// Runs at backend servers.
  pub runs: Vec<Run>,
  /// Faults at the store.
  pub store_faults: FaultSpans,
  /// Faults at each box.
  pub box_faults: BTreeMap<usize, FaultSpans>,
  /// For each box, the spans from a planned stop until its daemon runs again.
  pub planned: BTreeMap<usize, FaultSpans>,
  /// Planned stops: the box and when its stop began.
  pub stops: Vec<(usize, Ms)>,
  /// Violations found during the run.
  pub violations: Vec<Violation>,
}

/// A probe for an added route at a box.
#[derive(Clone, Debug)]
pub struct Probe {
  /// The box.
  pub index: usize,
  /// Whether the daemon knew the route.
  pub known: bool,
  /// How often the box's daemon had been started.
  pub life: u32,
  /// The number of the route.
  pub route: usize,
  /// When the probe was sent.
  pub sent_ms: Ms,
}

/// One run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
  /// When the run began.
  pub at_ms: Ms,
  /// The service named as the caller.
  pub caller: String,
  /// When the run ended, or was given up.
  pub ended_ms: Option<Ms>,
  /// Whether the request carried the caller's key.
  pub has_key: bool,
  /// The process that ran it.
  pub instance: String,
  /// The organisation named in the request's header.
  pub organisation: Option<String>,
  /// The id of the request.
  pub request_id: String,
  /// The service of the backend server.
  pub service: String,
}

/// A violated guarantee.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Violation {
  /// The guarantee.
  pub promise: &'static str,
  /// What was observed instead.
  pub seen: String,
}

impl Display for Violation {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}: {}", self.promise, self.seen)
  }
}

impl Record {
  /// Milliseconds within which a change must be in force.
  pub(super) const APPLY_MS: Ms = 2_000;
  /// Milliseconds without faults after which a box counts as connected.
  const CONTACT_MS: Ms = 3_000;
  /// Milliseconds after the acknowledgement within which work may still reach a draining process.
  const DRAIN_MS: Ms = 2_000;
  /// Milliseconds after its timeout within which a request must have ended.
  const HANG_MS: Ms = 1_500;
  /// Milliseconds of the window that the settings name for retries.
  const RETRY_WINDOW_MS: Ms = 10_000;
  /// Crashes after which a request counts as a crashing one.
  const ENDED_MAX: usize = 3;
  /// How often a crashing request may still reach a backend server after that.
  const RETRIES_MAX: usize = 3;
  /// Tolerance in milliseconds for scheduling delays of the soak test itself on a busy machine.
  pub(super) const SLACK_MS: Ms = 500;

  /// Checks the whole run. Returns the violations.
  pub fn check(&mut self) -> Vec<Violation> {
    let mut found = std::mem::take(&mut self.violations);
    self.check_runs(&mut found);
    self.check_repeats(&mut found);
    self.check_drains(&mut found);
    self.check_configuration(&mut found);
    self.check_answers(&mut found);
    self.check_crashing_requests(&mut found);
    found.sort();
    found.dedup();
    found
  }

  /// Returns the most runs of those that `is_counted` names which were under way at once within a span.
  pub(super) fn most_running(
    &self,
    from: Ms,
    to: Ms,
    is_counted: impl Fn(&record::Run) -> bool,
  ) -> usize {
    let mut changes = Vec::new();
    for run in self.runs.iter().filter(|run| run.at_ms <= to && is_counted(run)) {
      let ended_ms = run.ended_ms.unwrap_or(Ms::MAX);
      if ended_ms > from {
        changes.extend([(run.at_ms.max(from), true), (ended_ms, false)]);
      }
    }
    // Ends come first among changes at the same time.
    changes.sort_unstable();
    let (mut running, mut most) = (0_usize, 0);
    for (_, begins) in changes {
      running = if begins { running + 1 } else { running.saturating_sub(1) };
      most = most.max(running);
    }
    most
  }

  /// Whether a box had no planned stop, and neither it nor the store a fault, during a span and for
  /// [`Self::CONTACT_MS`] before it.
  fn is_connected(&self, index: usize, from: Ms, to: Ms) -> bool {
    let since = from.saturating_sub(Self::CONTACT_MS);
    let is_planned = self.planned.get(&index).is_some_and(|span| span.overlaps(since, to));
    !is_planned && !self.store_faults.overlaps(since, to) && !self.had_faults(index, since, to)
  }

  fn had_faults(&self, index: usize, from: Ms, to: Ms) -> bool {
    self.box_faults.get(&index).is_some_and(|faults| faults.overlaps(from, to))
  }

  fn check_runs(&self, found: &mut Vec<Violation>) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &self.runs {
      *runs.entry(&run.request_id).or_default() += 1;
    }
    for attempt in &self.attempts {
      let count = runs.get(attempt.id.as_str()).copied().unwrap_or(0);
      let id = &attempt.id;
      if count > 1 && !attempt.kind.is_repeatable() {
        found.push(Violation {
          promise: "runs at most once",
          seen: format!("{id} ran {count} times"),
        });
      }
      if count > 0 && matches!(attempt.outcome, Outcome::NotRun(_)) {
        let seen = format!("{id} was refused with {:?} and ran", attempt.outcome);
        found.push(Violation { promise: "a refusal says that it did not run", seen });
      }
    }
    let refused = self.attempts.iter().filter(|one| matches!(one.outcome, Outcome::NotRun(_)));
    let refused: BTreeMap<&str, Ms> = refused.map(|one| (one.id.as_str(), one.ended_ms)).collect();
    for run in &self.runs {
      let refused_ms = refused.get(run.request_id.as_str());
      if let Some(refused_ms) = refused_ms.filter(|refused_ms| run.at_ms > **refused_ms) {
        let seen = format!(
          "{} was refused at {refused_ms} ms, and begun at {} ms",
          run.request_id, run.at_ms
        );
        found.push(Violation { promise: "nothing is begun after its refusal", seen });
      }
    }
  }

  /// The repeated runs of each service stay within the share of its requests in any window.
  fn check_repeats(&self, found: &mut Vec<Violation>) {
    let services: BTreeSet<&str> = self.runs.iter().map(|run| run.service.as_str()).collect();
    for service in services {
      let (mut known, mut window) = (BTreeSet::new(), VecDeque::new());
      let (mut repeats, mut worst) = (0, None);
      for run in self.runs.iter().filter(|run| run.service == service) {
        let is_repeat = !known.insert(run.request_id.as_str());
        window.push_back((run.at_ms, is_repeat));
        repeats += usize::from(is_repeat);
        while window.front().is_some_and(|(at, _)| at + Self::RETRY_WINDOW_MS < run.at_ms) {
          let gone = window.pop_front();
          repeats -= usize::from(gone.is_some_and(|(_, is_repeat)| is_repeat));
        }
        let requests = window.len() - repeats;
        let most = requests / SoakBox::REQUESTS_A_RETRY + SoakBox::RETRY_EXTRA;
        if repeats > most && worst.is_none_or(|(_, beyond, _)| repeats - most > beyond) {
          worst = Some((run.at_ms, repeats - most, repeats));
        }
      }
      if let Some((at_ms, beyond, repeats)) = worst {
        let seen =
          format!("{repeats} repeats at {service} until {at_ms} ms, {beyond} more than may be");
        found.push(Violation { promise: "repeats stay within their share", seen });
      }
    }
  }

  /// A request that crashed three processes may reach at most three more through connected boxes.
  fn check_crashing_requests(&self, found: &mut Vec<Violation>) {
    let runs: Vec<CrashingRun> = self.runs.iter().filter_map(CrashingRun::of).collect();
    for number in 1..=self.crashing_requests {
      let own: Vec<&CrashingRun> = runs.iter().filter(|run| run.number == number).collect();
      let Some(third) = own.get(Self::ENDED_MAX - 1) else {
        continue;
      };
      let known_ms = third.at_ms + Self::CONTACT_MS + Self::SLACK_MS;
      let late = own
        .iter()
        .filter(|run| run.at_ms > known_ms && self.is_connected(run.index, run.at_ms, run.at_ms));
      let late = late.count();
      if late > Self::RETRIES_MAX {
        let seen = format!(
          "request {number} reached backend servers {late} times more, {} in all",
          own.len()
        );
        found.push(Violation { promise: "a request that ends servers is held back", seen });
      }
    }
  }

  fn check_drains(&self, found: &mut Vec<Violation>) {
    for run in &self.runs {
      let Some(left_ms) = self.left.get(&run.instance) else {
        continue;
      };
      let late_ms = run.at_ms.saturating_sub(*left_ms);
      if late_ms > Self::DRAIN_MS + Self::SLACK_MS {
        let seen = format!("{} ran {} {late_ms} ms after it left", run.instance, run.request_id);
        found.push(Violation { promise: "no work after a drain", seen });
      }
    }
  }

  fn check_configuration(&self, found: &mut Vec<Violation>) {
    let mut newest: BTreeMap<(usize, u32), (usize, Ms)> = BTreeMap::new();
    for probe in &self.probes {
      let accepted_ms = self.changes[probe.route];
      let seen = format!(
        "box {} lacked route {} at {} ms, accepted at {accepted_ms} ms",
        probe.index, probe.route, probe.sent_ms
      );
      let life = newest.entry((probe.index, probe.life)).or_insert((0, Ms::MAX));
      if probe.known {
        *life = (life.0.max(probe.route), life.1.min(probe.sent_ms));
        continue;
      }
      if life.1 != Ms::MAX && probe.route <= life.0 {
        found.push(Violation { promise: "never an older configuration", seen });
      } else if probe.sent_ms > accepted_ms + Self::APPLY_MS + Self::SLACK_MS
        && self.is_connected(probe.index, accepted_ms, probe.sent_ms)
      {
        found.push(Violation { promise: "a change is in force in time", seen });
      }
    }
  }

  fn check_answers(&self, found: &mut Vec<Violation>) {
    let ran: BTreeSet<&str> = self.runs.iter().map(|run| run.request_id.as_str()).collect();
    for attempt in &self.attempts {
      let took_ms = attempt.ended_ms.saturating_sub(attempt.sent_ms);
      let calm = !self.had_faults(attempt.index, attempt.sent_ms, attempt.ended_ms);
      let (id, outcome) = (&attempt.id, &attempt.outcome);
      if let Outcome::Wrong(what) = outcome {
        let seen = format!("{id}: {what}");
        found.push(Violation { promise: "whole answers to the own request", seen });
      }
      if calm && took_ms > attempt.time_left_ms + Self::HANG_MS {
        let seen = format!("{id} took {took_ms} ms of {}: {outcome:?}", attempt.time_left_ms);
        found.push(Violation { promise: "nothing hangs", seen });
      }
      // The request was under way when the stop began.
      let stopped = self.stops.iter().any(|(index, at_ms)| {
        *index == attempt.index && attempt.sent_ms < at_ms + 1_000 && attempt.ended_ms >= *at_ms
      });
      if stopped && calm && *outcome == Outcome::Cut && ran.contains(id.as_str()) {
        let seen = format!("{id} ran, and its caller at box {} was cut off", attempt.index);
        found.push(Violation { promise: "a planned stop cuts nothing", seen });
      }
    }
  }
}
