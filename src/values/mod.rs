//! Newtypes for ids, sizes and times, each with `Display` and `FromStr`.

use super::*;

use std::fmt::Write as _;

pub(crate) use self::given_name::percent_decoded;

pub use self::{
  box_id::BoxId, change_id::ChangeId, data_hall::DataHall, digest::Digest, duration_ms::DurationMs,
  error::Error, fingerprint::Fingerprint, given_name::GivenName, incarnation::Incarnation,
  instance_id::InstanceId, key_digest::KeyDigest, operator::Operator,
  organisation_name::OrganisationName, policy_name::PolicyName, rate::Rate, region::Region,
  request_id::RequestId, route_name::RouteName, service_name::ServiceName,
  software_version::SoftwareVersion, start_time::StartTime, team::Team, time::Time,
  try_key::TryKey, version::Version,
};

mod box_id;
mod change_id;
mod data_hall;
mod digest;
mod duration_ms;
mod error;
mod fingerprint;
mod given_name;
mod incarnation;
mod instance_id;
mod key_digest;
mod operator;
mod organisation_name;
mod policy_name;
mod rate;
mod region;
mod request_id;
mod route_name;
mod service_name;
mod software_version;
mod start_time;
mod team;
pub(crate) mod text;
mod time;
mod try_key;
mod version;

/// Result of parsing a value from text.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
