use super::*;

use std::task::Waker;

/// The large answers that this daemon sends over the box's network link, and their turns on it.
pub struct OutboundLink {
  /// Bytes of all bodies that were read ahead of their turns and are not sent.
  buffered_bytes: usize,
  /// Whether a task waits for the next turn.
  pub is_waiting: bool,
  /// Decides which body sends next, and when.
  pub schedule: OutboundSchedule,
  /// Wakes the connections of bodies that wait for a turn.
  pub wakers: BTreeMap<Ticket, Waker>,
}

impl OutboundLink {
  /// Largest number of bytes that all bodies together may be read ahead of their turns.
  const BUFFERED_BYTES_MAX: usize = 4 << 20;

  /// Creates the state of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    Self {
      buffered_bytes: 0,
      is_waiting: false,
      schedule: OutboundSchedule::new(link_mbps),
      wakers: BTreeMap::new(),
    }
  }

  /// Returns whether a body may be read ahead further.
  pub fn may_read_ahead(&self) -> bool {
    self.buffered_bytes < Self::BUFFERED_BYTES_MAX
  }

  /// Counts bytes that were read ahead.
  pub fn add_buffered(&mut self, bytes: usize) {
    self.buffered_bytes += bytes;
  }

  /// Counts bytes that were sent or dropped.
  pub fn remove_buffered(&mut self, bytes: usize) {
    self.buffered_bytes -= bytes;
  }

  /// Wakes all bodies whose turn it is. Returns when to ask again, if any body waits for the link.
  pub fn give_turns(&mut self, now: Time) -> Option<Time> {
    loop {
      match self.schedule.next(now) {
        OutboundTurn::Idle => return None,
        OutboundTurn::Send(ticket) => {
          if let Some(waker) = self.wakers.remove(&ticket) {
            waker.wake();
          }
        }
        OutboundTurn::Wait(until) => return Some(until),
      }
    }
  }
}
