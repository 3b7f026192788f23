//! Sockets whose peers share the event loop.
//!
//! The event loop runs a task until it waits, and fires its timers only once no task is ready. A peer whose next bytes
//! are always there already would let the task of its connection run on, so each connection rests after a number of
//! steps: timers fire and other connections are served before it goes on.

use super::*;

pub use self::{fair_stream::FairStream, listener::Listener, turns::Turns};

mod fair_stream;
mod listener;
mod turns;
