use super::*;

/// The sending side of an open link, as the loop holds it. Dropping it ends the link's tasks.
pub struct OpenLink {
  queue: futures_channel::mpsc::Sender<Message>,
  /// Ends the link's tasks when dropped.
  _alive: futures_channel::oneshot::Sender<()>,
}

/// Resolves once a link should end.
pub type Ended = futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>;

impl OpenLink {
  /// Messages that may wait for a slow peer.
  const QUEUE_MAX: usize = 1_024;

  /// A link with the queue that its sending task empties.
  pub fn new() -> (Self, futures_channel::mpsc::Receiver<Message>, Ended) {
    let (queue, messages) = futures_channel::mpsc::channel(Self::QUEUE_MAX);
    let (alive, ended) = futures_channel::oneshot::channel();
    (Self { queue, _alive: alive }, messages, ended.shared())
  }

  /// Queues a message. Returns whether there was room.
  pub fn send(&mut self, message: Message) -> bool {
    self.queue.try_send(message).is_ok()
  }
}
