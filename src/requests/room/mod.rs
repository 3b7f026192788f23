//! What a service as a whole can take, and which requests get it.

use super::*;

pub use self::{
  entry_decision::EntryDecision, entry_request::EntryRequest, room_forecast::RoomForecast,
  rooms::Rooms,
};

mod entry_decision;
mod entry_request;
mod room_forecast;
mod rooms;
