/// Why a request was refused, as far as it matters for when its caller should come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
  /// Before any try: calls that its run needs fail at present.
  CallsFail,
  /// Before any try: a service that its run calls has no room in time.
  CallsFull,
  /// Before any try: its service is full.
  Entry,
  /// After tries: no backend server had room.
  Tried {
    /// Milliseconds after which the last backend server expected room; 0 where it told nothing.
    told_ms: u64,
  },
}
