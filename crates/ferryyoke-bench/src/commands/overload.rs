//! Measures how many requests a service answers when the load exceeds its capacity.

use super::*;

/// Time that a backend server takes for a request, in milliseconds.
const WORK_MS: u64 = 20;

/// Slots of each backend server.
const SLOTS: u32 = 12;

/// Duration of each load in seconds.
const SECONDS: u64 = 5;

pub fn arguments() -> Command {
  Command::new("overload")
    .about("Answered requests a second at 0.5 to 3 times the capacity of a service")
    .arg(json())
}

pub async fn measure() -> Result {
  let fleet = FleetBuilder::new(executable()?).boxes(6).log_level("error").slots(SLOTS).start()?;
  fleet.configure().await?;
  let faults = BackendFaults { delay_ms: WORK_MS, ..BackendFaults::default() };
  let mut servers = 0;
  for one in fleet.boxes.iter().filter(|one| one.service == "archive") {
    one.set_backend_faults(&faults).await?;
    servers += 1;
  }
  // Kernel timers add about one millisecond to each request.
  let capacity = f64::from(servers * SLOTS) * 1_000.0 / count_u64(WORK_MS + 1);
  for load_factor in [0.5, 1.0, 1.5, 2.0, 3.0] {
    let generator = Generator {
      addresses: fleet.boxes.iter().map(|one| one.callers).collect(),
      duration: Duration::from_secs(SECONDS),
      path: "/archive/1".into(),
      per_second: Some(capacity * load_factor),
      threads: 180,
    };
    let result = generator.run()?;
    print(&serde_json::json!({
      "measure": "overload",
      "times_capacity": load_factor,
      "capacity_per_s": capacity,
      "answered_per_s": result.per_second(),
      "answered_share_of_capacity": result.per_second() / capacity,
      "refused_per_s": count_u64(result.failed) / result.seconds,
      "p50_ms": result.quantile_ms(0.5),
      "p99_ms": result.quantile_ms(0.99),
    }));
  }
  Ok(())
}
