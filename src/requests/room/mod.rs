//! Decides, before any try, which requests for a full service are tried.
//!
//! The decision is by what the service's backend servers tell of their free slots and queues.

use super::*;

use self::{
  admission_level::AdmissionLevel,
  aged_sum::AgedSum,
  backend_reports::{BackendReports, ReportedRoom},
  backend_room::BackendRoom,
  demand_mix::{DemandMix, RequestKind, Turn},
  organisation_shares::OrganisationShares,
  service_room::ServiceRoom,
};

pub use self::{
  entry_decision::EntryDecision,
  entry_request::EntryRequest,
  level_change::LevelChange,
  room_decision::{RoomDecision, RoomRefusal},
  room_forecast::RoomForecast,
  room_row::RoomRow,
  rooms::Rooms,
};

mod admission_level;
mod aged_sum;
mod backend_reports;
mod backend_room;
mod demand_mix;
mod entry_decision;
mod entry_request;
mod level_change;
mod organisation_shares;
mod room_decision;
mod room_forecast;
mod room_row;
mod rooms;
mod service_room;
