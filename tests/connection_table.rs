//! Which connections end where memory or descriptors run short, decided without sockets.

use {
  ferryyoke::web::{
    ConnectionLimits, ConnectionTable, Opening, PeerKind, Phase, SharedConnections,
    connections::ConnectionId,
  },
  std::{collections::BTreeMap, time::Duration},
};

const ROOM_BYTES: usize = 1 << 20;

fn at(ms: u64) -> Duration {
  Duration::from_millis(ms)
}

fn table(callers_max: usize) -> ConnectionTable {
  ConnectionTable::new(ConnectionLimits {
    connections_max: BTreeMap::from([(PeerKind::Callers, callers_max)]),
    held_bytes_max: ROOM_BYTES,
  })
}

fn open(table: &mut ConnectionTable, ms: u64) -> (ConnectionId, Option<ConnectionId>) {
  match table.open(at(ms), PeerKind::Callers) {
    Opening::Taken { evicted, id } => (id, evicted),
    Opening::Refused => panic!("the connection is refused"),
  }
}

// Guards against idle connections that leave no descriptor for a caller who comes later.
#[test]
fn the_connection_that_was_idle_for_longest_ends_for_a_new_one() {
  let mut table = table(3);
  let ids: Vec<_> = (0..3).map(|ms| open(&mut table, ms).0).collect();
  table.update(at(10), ids[0], 0, Phase::Receiving);
  table.update(at(11), ids[1], 0, Phase::Working);
  table.update(at(12), ids[1], 0, Phase::Idle);
  let (_, evicted) = open(&mut table, 20);
  assert_eq!(evicted, Some(ids[2]), "idle since 2 ms, the other one since 12 ms");
  let (_, evicted) = open(&mut table, 21);
  assert_eq!(evicted, Some(ids[1]));
  assert_eq!(table.open_count(PeerKind::Callers), 3);
}

// Guards against requests that are being served and end because of others.
#[test]
fn connections_whose_requests_are_served_stay() {
  let mut table = table(2);
  for ms in 0..2 {
    let (id, _) = open(&mut table, ms);
    table.update(at(10), id, ROOM_BYTES, Phase::Working);
  }
  assert_eq!(table.open(at(20), PeerKind::Callers), Opening::Refused);
  assert_eq!(table.take_excess(0), None);
  let daemon = table.open(at(20), PeerKind::Daemons);
  assert!(
    matches!(daemon, Opening::Taken { evicted: None, .. }),
    "other peers have room of their own"
  );
}

// Guards against many peers that together hold more than the process may.
#[test]
fn the_connection_that_waited_longest_for_its_peer_ends_for_memory() {
  let mut table = table(10);
  let ids: Vec<_> = (0..4).map(|ms| open(&mut table, ms).0).collect();
  table.update(at(10), ids[0], 100, Phase::Receiving);
  table.update(at(11), ids[1], ROOM_BYTES / 2, Phase::Receiving);
  table.update(at(12), ids[2], ROOM_BYTES / 2, Phase::Sending);
  assert_eq!(table.take_excess(0), Some(ids[1]), "the first one holds too little to help");
  assert_eq!(table.take_excess(0), None);
  table.update(at(13), ids[3], ROOM_BYTES / 4, Phase::Working);
  assert_eq!(table.take_excess(0), None);
  assert_eq!(table.take_excess(ROOM_BYTES / 2), Some(ids[2]), "bodies that requests hold count");
}

// Guards against drips: a byte now and then makes a message no younger.
#[test]
fn bytes_of_the_same_message_do_not_make_it_younger() {
  let mut table = table(10);
  let (slow, _) = open(&mut table, 0);
  let (fast, _) = open(&mut table, 0);
  table.update(at(1), slow, 1_000, Phase::Receiving);
  table.update(at(2), fast, ROOM_BYTES / 2, Phase::Receiving);
  table.update(at(900), slow, ROOM_BYTES / 2 + 1_000, Phase::Receiving);
  assert_eq!(table.take_excess(0), Some(slow));
}

// Guards against a connection that takes what is left of the room.
#[test]
fn the_allowance_shrinks_with_the_room() {
  let mut table = table(10);
  let calm_bytes = table.allowance_bytes(0);
  let (id, _) = open(&mut table, 0);
  table.update(at(1), id, ROOM_BYTES / 2, Phase::Working);
  let less_bytes = table.allowance_bytes(0);
  assert!(less_bytes < calm_bytes);
  let least_bytes = table.allowance_bytes(ROOM_BYTES);
  assert!(0 < least_bytes && least_bytes < less_bytes, "a connection always makes progress");
  table.close(id);
  assert_eq!(table.allowance_bytes(0), calm_bytes);
  assert_eq!(table.held_bytes(), 0);
}

// Guards against shares that leave no descriptors for links, the store and the backend server.
#[test]
fn the_shares_leave_descriptors() {
  for descriptors in [256, 300, 4_100, 20_000] {
    let limits = ConnectionLimits::of_process(descriptors, 160 << 20);
    let taken: usize = limits.connections_max.values().sum();
    let taken = taken + ConnectionLimits::outgoing_max(descriptors);
    assert!(taken * 100 <= descriptors * 90, "{taken} of {descriptors}");
    assert!(PeerKind::ALL.iter().all(|kind| limits.connections_max[kind] >= 4));
  }
}

// Guards against held answers that take all the room of the process.
#[test]
fn what_is_reserved_stays_a_small_part_of_the_room() {
  let limits = ConnectionLimits { connections_max: BTreeMap::new(), held_bytes_max: ROOM_BYTES };
  let connections = SharedConnections::new(limits);
  assert!(connections.reserve(ROOM_BYTES / 8 + 1).is_none());
  let mut reserved = Vec::new();
  while let Some(one) = connections.reserve(ROOM_BYTES / 16) {
    reserved.push(one);
  }
  assert!(reserved.len() >= 8 && connections.held_bytes() < ROOM_BYTES, "{}", reserved.len());
  assert!(connections.allowance_bytes() >= 4_096);
  drop(reserved);
  assert_eq!(connections.held_bytes(), 0);
  assert!(connections.reserve(ROOM_BYTES / 8).is_some());
}
