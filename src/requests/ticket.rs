use super::*;

text::number! {
  /// Names one request at a limiter.
  Ticket, "ticket"
}
