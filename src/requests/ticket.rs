use super::*;

text::number! {
  /// Identifies a request within a limiter.
  Ticket, "ticket"
}
