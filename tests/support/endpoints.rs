//! Endpoints for unit tests.

use ferryyoke::{
  fleet::{Endpoint, EndpointState, Peer},
  values::Incarnation,
};

/// Returns a live endpoint of the service `service`.
pub fn endpoint(name: &str, data_hall: &str, slots: u32) -> Endpoint {
  let address = ([127, 0, 0, 1], 1).into();
  Endpoint {
    backend_starts: 0,
    findings: Vec::new(),
    forward_address: address,
    incarnation: Incarnation(1),
    link_mbps: 0,
    peer: Peer {
      address,
      box_id: name.parse().expect("a name"),
      data_hall: data_hall.parse().expect("a name"),
    },
    region: "region".parse().expect("a name"),
    relay: None,
    sequence: 1,
    service: "service".parse().expect("a name"),
    slots,
    software: None,
    state: EndpointState::Live,
  }
}
