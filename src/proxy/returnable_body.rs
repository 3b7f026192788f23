use super::*;

/// A request body that streams to one try and returns to its owner if none of it was read.
pub struct ReturnableBody {
  body: Option<Incoming>,
  is_read: bool,
  owner: Rc<RefCell<Option<Incoming>>>,
}

impl ReturnableBody {
  /// Takes the body for a try. Returns `None` if another try has it.
  pub fn of(owner: &Rc<RefCell<Option<Incoming>>>) -> Option<Self> {
    let body = owner.borrow_mut().take()?;
    Some(Self { body: Some(body), is_read: false, owner: owner.clone() })
  }
}

impl Body for ReturnableBody {
  type Data = Bytes;
  type Error = web::Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::Error>>> {
    self.is_read = true;
    match &mut self.body {
      Some(body) => Pin::new(body).poll_frame(context),
      None => Poll::Ready(None),
    }
  }

  fn is_end_stream(&self) -> bool {
    self.body.as_ref().is_none_or(Body::is_end_stream)
  }

  fn size_hint(&self) -> http_body::SizeHint {
    self.body.as_ref().map_or_else(http_body::SizeHint::default, Body::size_hint)
  }
}

impl Drop for ReturnableBody {
  fn drop(&mut self) {
    if !self.is_read {
      *self.owner.borrow_mut() = self.body.take();
    }
  }
}
