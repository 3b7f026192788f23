use super::*;

/// Shares a box's network link among the large answers that it sends, so that heads and small
/// answers, which pass at once, wait behind a queue of a few milliseconds only.
///
/// Without it, the kernel takes tens of KB of each large answer, and all of that queues in front of
/// whatever is sent next. With it, the bodies of a few large answers are sent in turns, one piece
/// each, at the link's rate.
#[derive(Clone, Debug)]
pub struct OutboundSchedule {
  bodies: BTreeMap<Ticket, OutboundBody>,
  /// Bytes handed to the link that have not crossed it.
  link: LinkQueue,
  piece_bytes: u64,
}

/// The body of a large answer that is not yet sent completely.
#[derive(Clone, Debug)]
struct OutboundBody {
  arrived_at: Time,
  /// Bytes that can be sent now; 0 while the body has none, or its connection takes none.
  asked_bytes: u64,
  due: Time,
  /// Bytes that it may send, until its connection takes them.
  granted_bytes: u64,
  /// When it last was granted bytes; `None` before its first piece.
  last_turn: Option<Time>,
  /// Bytes not yet granted; 0 where the size of the body is unknown.
  left_bytes: u64,
}

/// What is next on the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutboundTurn {
  /// No body can send.
  Idle,
  /// A body may send its next piece.
  Send(Ticket),
  /// The link is taken until this time.
  Wait(Time),
}

impl OutboundSchedule {
  /// Bodies under way at once. With the second, a pause of one connection leaves no gap.
  const BODIES_MAX: usize = 2;
  /// Share of the link that turns may fill: all of it, though packet headers take some as well.
  /// What is too much queues in the small send buffers of the few bodies under way, which then take
  /// their next pieces later.
  const PART: f64 = 1.0;
  /// Link time of a piece in milliseconds: several times the precision of a timer.
  const PIECE_MS: f64 = 4.0;
  /// Smallest piece in bytes: below, packet headers and system calls cost too much.
  const PIECE_BYTES_MIN: f64 = 4_096.0;
  /// Milliseconds of queue at which the next piece is handed to the link. Covers late timers, so
  /// that the link does not run empty between pieces.
  const QUEUE_MS: f64 = 2.0;
  /// Milliseconds after a piece for which a body that does not ask for the next one keeps its place
  /// among those under way: longer than the piece takes to cross.
  const TURN_MS: u64 = 10;
  /// Milliseconds after which a body that was not begun goes first, even if its answer is late.
  const WAIT_MAX_MS: u64 = 1_000;

  /// Creates the schedule of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    let link = LinkQueue::new(link_mbps, Self::PART);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let piece_bytes = (link.bytes_per_ms() * Self::PIECE_MS).max(Self::PIECE_BYTES_MIN) as u64;
    Self { bodies: BTreeMap::new(), link, piece_bytes }
  }

  /// Adds a body of `bytes`, whose answer is due at `due`.
  pub fn arrive(&mut self, now: Time, ticket: Ticket, bytes: u64, due: Time) {
    let body = OutboundBody {
      arrived_at: now,
      asked_bytes: 0,
      due,
      granted_bytes: 0,
      last_turn: None,
      left_bytes: bytes,
    };
    self.bodies.insert(ticket, body);
  }

  /// Records that a body can send `bytes` now.
  pub fn ask(&mut self, ticket: Ticket, bytes: u64) {
    if let Some(body) = self.bodies.get_mut(&ticket) {
      body.asked_bytes = bytes;
    }
  }

  /// Takes the bytes that a body was granted.
  pub fn take_grant(&mut self, ticket: Ticket) -> u64 {
    let granted = self.bodies.get_mut(&ticket).map(|body| &mut body.granted_bytes);
    granted.map(std::mem::take).unwrap_or_default()
  }

  /// Counts bytes that are sent without a turn: heads and small answers.
  #[allow(clippy::cast_precision_loss)]
  pub fn count_small(&mut self, now: Time, bytes: u64) {
    self.link.add(now, bytes as f64);
  }

  /// Removes a body that was sent or given up.
  pub fn leave(&mut self, ticket: Ticket) {
    self.bodies.remove(&ticket);
  }

  /// Grants the next piece, if the link has room for one.
  #[allow(clippy::cast_precision_loss)]
  pub fn next(&mut self, now: Time) -> OutboundTurn {
    if self.bodies.values().all(|body| body.asked_bytes == 0) {
      return OutboundTurn::Idle;
    }
    let ahead_ms = self.link.delay_ms(now) - Self::QUEUE_MS;
    if ahead_ms > 0.0 {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return OutboundTurn::Wait(now.after(ahead_ms.ceil() as u64));
    }
    // The bodies under way keep their places, but none of them asks.
    let Some(ticket) = self.pick(now) else {
      return OutboundTurn::Wait(now.after(1));
    };
    let piece_bytes = self.piece_bytes;
    let body = self.bodies.get_mut(&ticket).expect("a body of the schedule");
    let bytes = body.asked_bytes.min(piece_bytes);
    body.asked_bytes = 0;
    body.granted_bytes += bytes;
    body.last_turn = Some(now);
    body.left_bytes = body.left_bytes.saturating_sub(bytes);
    self.link.add(now, bytes as f64);
    OutboundTurn::Send(ticket)
  }

  /// Returns the body whose turn it is: a new one while few are under way, else of those begun the
  /// one whose last turn is longest ago.
  fn pick(&self, now: Time) -> Option<Ticket> {
    let under_way = self.bodies.values().filter(|body| body.is_under_way(now)).count();
    let asking = self.bodies.iter().filter(|(_, body)| body.asked_bytes > 0);
    let (begun, fresh): (Vec<_>, Vec<_>) = asking.partition(|(_, body)| body.last_turn.is_some());
    let next_fresh =
      fresh.into_iter().min_by_key(|(ticket, body)| (self.precedence(now, body), **ticket));
    let next_begun = begun.into_iter().min_by_key(|(ticket, body)| (body.last_turn, **ticket));
    let chosen = next_fresh.filter(|_| under_way < Self::BODIES_MAX).or(next_begun);
    chosen.map(|(ticket, _)| *ticket)
  }

  /// Returns the place of a body that was not begun, the lowest first: those that wait too long,
  /// those whose answer can be in time, and the others; within each by the time they are due.
  fn precedence(&self, now: Time, body: &OutboundBody) -> (u8, Time) {
    #[allow(clippy::cast_precision_loss)]
    let takes_ms = body.left_bytes as f64 / self.link.bytes_per_ms();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let is_in_time = now.after(takes_ms.ceil() as u64) <= body.due;
    let rank = match is_in_time {
      _ if now.since_ms(body.arrived_at) > Self::WAIT_MAX_MS => 0,
      true => 1,
      false => 2,
    };
    (rank, body.due)
  }

  /// Returns the milliseconds that the link needs for what was handed to it and what bodies have
  /// left.
  #[allow(clippy::cast_precision_loss)]
  pub fn owed_ms(&self, now: Time) -> f64 {
    let left_bytes: u64 = self.bodies.values().map(|body| body.left_bytes).sum();
    self.link.delay_ms(now) + left_bytes as f64 / self.link.bytes_per_ms()
  }

  /// Returns the number of bodies that were begun, and of those that were not.
  pub fn counts(&self) -> (usize, usize) {
    let begun = self.bodies.values().filter(|body| body.last_turn.is_some()).count();
    (begun, self.bodies.len() - begun)
  }
}

impl OutboundBody {
  /// Whether the body was begun, and its connection takes bytes.
  fn is_under_way(&self, now: Time) -> bool {
    let had_turn = |turn| now.since_ms(turn) <= OutboundSchedule::TURN_MS;
    self.last_turn.is_some_and(|turn| self.asked_bytes > 0 || had_turn(turn))
  }
}
