//! Many boxes that join or leave at once: the cost of these updates for every other box must not
//! grow in proportion.
//!
//! A hundred backend servers that joined a fleet of 985 boxes within half a second held up all
//! boxes for two seconds: each update was one message on each link and made each box evaluate the
//! whole fleet.

mod support;

use {
  ferryyoke::{
    fleet::{EndpointState, ServiceEndpoints},
    values::BoxId,
  },
  std::collections::BTreeSet,
  support::{endpoints::endpoint, followers::Followers},
};

/// Boxes of the fleet.
const BOXES: usize = 45;
const NOBODY: [usize; 0] = [];

/// Lets the given number of boxes change their state within about 200 ms. Returns how many updates
/// the busiest other box passed on to its proxies, and the number of messages on all links.
fn burst(changing: usize) -> (usize, usize) {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.endpoint_notifications.clear();
  fleet.news_messages = 0;
  for index in 0..changing {
    fleet.change_state(index, EndpointState::Draining);
    if index % 4 == 3 {
      fleet.run(20);
    }
  }
  fleet.run(2_000);
  let all = |fleet: &Followers, from| (0..changing).all(|to| !fleet.sees_live(from, to));
  assert_eq!(fleet.boxes_failing(BOXES, all), NOBODY, "{:#?}", fleet.logged);
  let others =
    (changing..BOXES).map(|index| fleet.endpoint_notifications[&Followers::box_id(index)]);
  (others.max().expect("some"), fleet.news_messages)
}

/// Pattern of a scale-out or a restart of many backend servers.
#[test]
fn updates_of_a_burst_are_batched() {
  let (few_updates, few_messages) = burst(4);
  let (updates, messages) = burst(40);
  assert!(updates <= 5 * few_updates, "{updates} updates for 40 boxes, {few_updates} for 4");
  // Ten times as many boxes cost less than half as much each.
  assert!(messages < 5 * few_messages, "{messages} messages for 40 boxes, {few_messages} for 4");
}

#[test]
fn a_stopped_box_is_known_to_be_lost_before_its_lease_expires() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.stop(7);
  fleet.run(7_000);
  let seen = fleet.boxes_failing(BOXES, |fleet, index| !fleet.sees_live(index, 7));
  assert_eq!(seen, NOBODY, "{:#?}", fleet.logged);
}

/// A paused process is declared lost, and is live again as soon as it resumes.
#[test]
fn a_live_box_is_back_once_it_learns_that_it_is_considered_lost() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.paused.insert(Followers::box_id(7));
  fleet.run(8_000);
  fleet.paused.clear();
  fleet.run(3_000);
  let lacks = fleet.boxes_failing(BOXES, |fleet, index| fleet.sees_live(index, 7));
  assert_eq!(lacks, NOBODY, "{:#?}", fleet.logged);
}

/// A box that is cut off declares no box lost: it cannot tell which ones are.
#[test]
fn a_box_that_is_cut_off_declares_no_box_lost() {
  let mut fleet = Followers::at_rest(4);
  for index in 1..4 {
    fleet.paused.insert(Followers::box_id(index));
  }
  fleet.rejected_boxes.insert(Followers::box_id(0));
  fleet.run(12_000);
  let lost = (1..4).filter(|to| !fleet.sees_live(0, *to)).collect::<Vec<usize>>();
  assert_eq!(lost, NOBODY, "{:#?}", fleet.logged);
}

/// The proxies' lookups are the same whether updates came one by one or all at once.
#[test]
fn boxes_of_a_service_follow_updates() {
  let mut known = ServiceEndpoints::default();
  let [mut one, other] = [endpoint("box-1", "hall-1", 4), endpoint("box-2", "hall-1", 4)];
  known.update(&one);
  known.update(&other);
  assert_eq!((known.of(&one.service).len(), known.live(), known.count()), (2, 2, 2));
  one.state = EndpointState::Draining;
  known.update(&one);
  assert_eq!((known.of(&one.service).len(), known.live()), (2, 1));
  let former = one.service.clone();
  one.service = "another".parse().expect("a name");
  known.update(&one);
  assert_eq!((known.of(&former).len(), known.of(&one.service).len()), (1, 1));
  one.state = EndpointState::Lost;
  known.update(&one);
  assert_eq!((known.of(&one.service).len(), known.lost(), known.count()), (0, 1, 2));
  assert!(known.find(&one.peer.box_id).is_none());
  one.state = EndpointState::Live;
  known.update(&one);
  assert_eq!((known.lost(), known.count()), (0, 2));
  let boxes: BTreeSet<&str> = known.boxes().map(BoxId::as_str).collect();
  assert_eq!(boxes, BTreeSet::from(["box-1", "box-2"]));
}
