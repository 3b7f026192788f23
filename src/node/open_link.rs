use super::*;

/// The sending side of an open link. Dropping it ends the link's tasks.
pub struct OpenLink {
  queue: futures_channel::mpsc::Sender<Message>,
  /// Ends the link's tasks when dropped.
  _alive: futures_channel::oneshot::Sender<()>,
}

/// Resolves once a link should be closed.
pub type CloseSignal = futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>;

impl OpenLink {
  /// Messages that may be queued for a slow peer.
  const QUEUE_MAX: usize = 1_024;

  /// Creates a link, the queue that its sending task reads, and the signal to close it.
  pub fn new() -> (Self, futures_channel::mpsc::Receiver<Message>, CloseSignal) {
    let (queue, messages) = futures_channel::mpsc::channel(Self::QUEUE_MAX);
    let (alive, ended) = futures_channel::oneshot::channel();
    (Self { queue, _alive: alive }, messages, ended.shared())
  }

  /// Queues a message. Returns whether the queue had room.
  pub fn send(&mut self, message: Message) -> bool {
    self.queue.try_send(message).is_ok()
  }
}
