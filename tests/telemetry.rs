//! The quota of equal log lines, and the buffer of the log's output.

use {
  ferryyoke::telemetry::{BufferedOutput, Quota},
  std::{
    io::Read,
    os::{fd::AsFd, unix::net::UnixStream},
  },
};

#[test]
fn a_burst_of_equal_lines_is_limited_and_counted() {
  let mut quota = Quota::default();
  let passed = (0..1_000).filter(|_| quota.admit(7, "a link broke", Quota::LINES_MAX).0).count();
  assert_eq!(passed, Quota::LINES_MAX as usize);
  let (admitted, suppressed) = quota.admit(8, "a link broke", Quota::LINES_MAX);
  assert!(admitted);
  assert_eq!(suppressed, [("a link broke".to_string(), 1_000 - Quota::LINES_MAX)]);
}

#[test]
fn different_lines_do_not_share_a_quota() {
  let mut quota = Quota::default();
  for index in 0..100 {
    assert!(quota.admit(7, &format!("line {index}"), Quota::LINES_MAX).0);
  }
}

/// The reader of the log may stall. The daemon does not wait for it, and lines that do not fit into
/// the buffer are dropped and counted.
#[test]
fn a_stalled_reader_does_not_block_the_log() {
  let (mut reader, writer) = UnixStream::pair().expect("a pair");
  let outlet = BufferedOutput::default();
  let line = [&[b'x'; 999][..], b"\n"].concat();
  for _ in 0..2_000 {
    outlet.push_line(&line);
    outlet.flush_to(writer.as_fd());
  }
  reader.set_nonblocking(true).expect("a socket");
  let mut read = Vec::new();
  for _ in 0..100 {
    reader.read_to_end(&mut read).ok();
    outlet.flush_to(writer.as_fd());
  }
  let text = String::from_utf8(read).expect("text");
  let lines: Vec<&str> = text.lines().collect();
  let (dropped, whole): (Vec<&str>, Vec<&str>) =
    lines.iter().partition(|line| line.contains("dropped"));
  assert!(whole.iter().all(|line| line.len() == 999), "a line was torn");
  let counted: u64 = dropped
    .iter()
    .map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"))
    .map(|line| line["lines"].as_u64().expect("a count"))
    .sum();
  assert_eq!(whole.len() as u64 + counted, 2_000);
  assert!(counted > 0, "nothing was dropped");
}
