//! Configurations in the mesh's own format, for fleets in virtual time.

use ferryyoke::{
  configuration::{Configuration, ParseError, Patch, Policy, Revised, Service, Source},
  rollout::Order,
  store::Key,
  values::{DataHall, Digest, PolicyName, ServiceName, Team, Version},
};

/// Reads configurations in the mesh's own format.
#[derive(Debug)]
pub struct PlainSource;

impl Source for PlainSource {
  fn key(&self) -> Key {
    Key::of(&["op", "config"])
  }

  fn evacuated_hall(&self, key: &Key) -> Option<DataHall> {
    key.as_str().strip_prefix("op/evacuate/")?.parse().ok()
  }

  fn ordered_service(&self, key: &Key) -> Option<ServiceName> {
    key.as_str().strip_prefix("op/orders/")?.parse().ok()
  }

  fn prefix(&self) -> Key {
    Key::of(&["op", ""])
  }

  fn read_order(&self, value: &str) -> Result<Order, String> {
    serde_json::from_str(value).map_err(|err| err.to_string())
  }

  fn read(&self, value: &str) -> Result<Configuration, ParseError> {
    // `unreadable 7` represents a configuration of version 7 that is otherwise unreadable.
    if let Some(version) = value.strip_prefix("unreadable ") {
      let version = version.parse().ok();
      return Err(ParseError { reason: "an unknown kind of route".into(), version });
    }
    serde_json::from_str(value).map_err(ParseError::unknown_version)
  }
}

/// Returns a configuration with `count` services.
pub fn configuration_text(version: u64, count: usize) -> String {
  let mut configuration = Configuration { version: Version(version), ..Configuration::default() };
  let owner: Team = "team".parse().expect("a name");
  let name: PolicyName = "policy".parse().expect("a name");
  let policy = Policy { attempts: 1, deadline_ms: 1, owner: owner.clone(), queue_length: 1 };
  let revision = Patch::SOURCE_REVISION;
  configuration.policies.insert(name.clone(), Revised { revision, value: policy });
  for index in 0..count {
    let value = Service {
      cold_start: None,
      connections: None,
      health_path: None,
      owner: owner.clone(),
      policy: name.clone(),
    };
    // The name doesn't compress, so that many services need many bytes on a link.
    let name = Digest::of(format!("service-{index}").as_bytes()).to_string();
    let name = name[..40].parse().expect("a name");
    configuration.services.insert(name, Revised { revision, value });
  }
  serde_json::to_string(&configuration).expect("JSON")
}
