use super::*;

text::name! {
  /// The idempotency key of a request that must run at most once.
  RequestKey, "request key"
}
