//! Models a box's network link, and decides which bodies cross it: the bodies that the box
//! receives, and the answers that it sends.

use super::*;

pub use self::{
  answer_budget::AnswerBudget,
  answer_sizes::AnswerSizes,
  body_queue::BodyQueue,
  link_budget::LinkBudget,
  link_queue::LinkQueue,
  outbound_schedule::{OutboundSchedule, OutboundTurn},
};

mod answer_budget;
mod answer_sizes;
mod body_queue;
mod link_budget;
mod link_queue;
mod outbound_schedule;
