//! Estimates the resource use of each daemon role at the design size, by extrapolating linear fits
//! over several smaller fleets.

use super::*;

/// Boxes and data halls of the measured fleets.
const FLEETS: [(usize, usize); 4] = [(12, 2), (36, 3), (72, 4), (120, 6)];

/// Route counts of the measured configurations.
const ROUTES: [usize; 3] = [100, 400, 800];

/// How long each idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(20);

/// Configuration changes made in each fleet.
const CHANGES: usize = 10;

/// Boxes at the design size.
const DESIGN_BOXES: f64 = 740.0;
/// Relays at the design size.
const DESIGN_RELAYS: f64 = 24.0;
/// Links of one relay at the design size: its downstream links and one to each other relay.
const DESIGN_LINKS: f64 = 31.0 + DESIGN_RELAYS - 1.0;
/// Routes at the design size.
const DESIGN_ROUTES: f64 = 1_000.0;

pub fn arguments() -> Command {
  Command::new("capacity")
    .about("The rows of docs/CAPACITY.md: what each role takes at 740 boxes and 1,000 routes")
    .arg(profile())
    .arg(json())
}

/// One quantity of one role: the measured points, the value of the driver (the number that the
/// quantity grows with) at the design size, and the budget.
struct Row {
  budget: Option<f64>,
  design: f64,
  driver: &'static str,
  points: Vec<(f64, f64)>,
  quantity: &'static str,
  role: &'static str,
}

impl Row {
  fn new(role: &'static str, quantity: &'static str, driver: &'static str, design: f64) -> Self {
    Self { budget: None, design, driver, points: Vec::new(), quantity, role }
  }

  fn budget(self, budget: f64) -> Self {
    Self { budget: Some(budget), ..self }
  }

  fn print(&self) {
    let fit = LinearFit::of(&self.points);
    let at_design = fit.at(self.design);
    // The driver value at which the fitted line reaches the budget.
    let fits_until =
      self.budget.filter(|_| fit.slope > 0.0).map(|budget| (budget - fit.intercept) / fit.slope);
    print(&serde_json::json!({
      "measure": "capacity",
      "role": self.role,
      "quantity": self.quantity,
      "driver": self.driver,
      "points": self.points,
      "slope": fit.slope,
      "intercept": fit.intercept,
      "residual_max": fit.residual_max,
      "driver_at_design": self.design,
      "at_design": at_design,
      "budget": self.budget,
      "fits": self.budget.map(|budget| at_design <= budget),
      "fits_until_driver": fits_until,
    }));
  }
}

/// The rows measured on idle fleets and during configuration changes.
struct Rows {
  relay_bytes: Row,
  relay_cpu: Row,
  relay_memory: Row,
  store_at_rest: Row,
  store_per_change: Row,
  subscriber_bytes: Row,
  subscriber_cpu: Row,
  subscriber_memory: Row,
}

impl Rows {
  fn new() -> Self {
    let (links, boxes, relays) = ("links", "boxes", "relays");
    Self {
      relay_bytes: Row::new("relay", "link_bytes_per_s", links, DESIGN_LINKS).budget(3_072.0),
      relay_cpu: Row::new("relay", "cpu_share", links, DESIGN_LINKS).budget(0.016),
      relay_memory: Row::new("relay", "rss_kb", boxes, DESIGN_BOXES).budget(262_144.0),
      store_at_rest: Row::new("watcher", "store_calls_per_s", relays, DESIGN_RELAYS),
      store_per_change: Row::new("watcher", "store_calls_per_change", relays, DESIGN_RELAYS),
      subscriber_bytes: Row::new("subscriber", "link_bytes_per_s", boxes, DESIGN_BOXES)
        .budget(3_072.0),
      subscriber_cpu: Row::new("subscriber", "cpu_share", boxes, DESIGN_BOXES).budget(0.016),
      subscriber_memory: Row::new("subscriber", "rss_kb", boxes, DESIGN_BOXES).budget(262_144.0),
    }
  }

  fn print(&self) {
    let all = [
      &self.relay_bytes,
      &self.relay_cpu,
      &self.relay_memory,
      &self.store_at_rest,
      &self.store_per_change,
      &self.subscriber_bytes,
      &self.subscriber_cpu,
      &self.subscriber_memory,
    ];
    all.into_iter().for_each(Row::print);
  }
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let mut rows = Rows::new();
  for (boxes, data_halls) in FLEETS {
    measure_fleet(&mut rows, boxes, data_halls, get_profile(matches)).await?;
  }
  rows.print();
  let mut memory = Row::new("proxy", "rss_kb", "routes", DESIGN_ROUTES).budget(262_144.0);
  let mut snapshot = Row::new("proxy", "configuration_bytes", "routes", DESIGN_ROUTES);
  for routes in ROUTES {
    let (rss_kb, bytes) = measure_routes(routes).await?;
    memory.points.push((count(routes), rss_kb));
    snapshot.points.push((count(routes), bytes));
  }
  memory.print();
  snapshot.budget(1_000_000.0).print();
  Ok(())
}

async fn measure_fleet(rows: &mut Rows, boxes: usize, data_halls: usize, profile: &str) -> Result {
  let fleet = FleetBuilder::new(executable()?)
    .boxes(boxes)
    .data_halls(data_halls)
    .log_level("warning")
    .profile(profile)
    .start()?;
  fleet.configure().await?;
  monoio::time::sleep(Duration::from_secs(5)).await;
  let mut links = Vec::new();
  for one in &fleet.boxes {
    links.push(links_of_relay(one).await?);
  }
  let before = Usage::read(&fleet).await?;
  monoio::time::sleep(IDLE_PERIOD).await;
  let after = Usage::read(&fleet).await?;
  let idle = after.since(&before);
  let relays = count(links.iter().flatten().count());
  rows.store_at_rest.points.push((relays, idle.calls));
  let mut subscribers = [Sample::default(), Sample::default(), Sample::default()];
  for (index, links) in links.iter().enumerate() {
    let used = [idle.bytes[index], idle.cpu_share[index], after.rss_kb[index]];
    match links {
      Some(links) => {
        rows.relay_bytes.points.push((*links, used[0]));
        rows.relay_cpu.points.push((*links, used[1]));
        rows.relay_memory.points.push((count(boxes), used[2]));
      }
      None => subscribers.iter_mut().zip(used).for_each(|(sample, value)| sample.add(value)),
    }
  }
  if subscribers[0].count() > 0 {
    rows.subscriber_bytes.points.push((count(boxes), subscribers[0].median()));
    rows.subscriber_cpu.points.push((count(boxes), subscribers[1].median()));
    rows.subscriber_memory.points.push((count(boxes), subscribers[2].median()));
  }
  let started = Instant::now();
  let before = fleet.store_calls().await?;
  convergence::make_changes(&fleet, CHANGES).await?;
  let calls = count_u64(fleet.store_calls().await? - before);
  let extra = calls - idle.calls * started.elapsed().as_secs_f64();
  rows.store_per_change.points.push((relays, extra / count(CHANGES)));
  Ok(())
}

/// Returns the number of links of a relay; `None` if the daemon is not a relay.
async fn links_of_relay(one: &FleetBox) -> Result<Option<f64>> {
  let answer = one.run_statements("status").await?;
  let field = |name: &str| {
    let row = answer.table.rows.iter().find(|row| row[0].as_str() == Some(name));
    row.map(|row| row[1].clone()).unwrap_or_default()
  };
  if field("slot").is_null() {
    return Ok(None);
  }
  let links = ["downstream", "mesh"].map(|name| field(name).as_f64().unwrap_or(0.0));
  Ok(Some(links.iter().sum()))
}

/// Returns the resident memory of a daemon with this many routes, in kilobytes, and the size of the
/// configuration in bytes.
async fn measure_routes(routes: usize) -> Result<(f64, f64)> {
  let fleet =
    FleetBuilder::new(executable()?).boxes(2).data_halls(1).log_level("warning").start()?;
  let mut version = fleet.configure().await?;
  for start in (0..routes).step_by(200) {
    let create = |index: usize| {
      format!("create route many-{index} path /many-{index}/of/some/length service archive")
    };
    let text: Vec<String> = (start..routes.min(start + 200)).map(create).collect();
    version = fleet.change(0, &text.join(";")).await?;
    fleet.wait_for_version(version).await?;
  }
  let daemon = fleet.boxes[1].daemon.as_ref();
  let rss_kb = daemon.map_or(Ok(0), |daemon| daemon.memory_kb("VmRSS"))?;
  let document = fleet.boxes[1].run_statements("export").await?.document.unwrap_or_default();
  // The stored form also holds a revision for each object, estimated at 40 bytes per route.
  let bytes = document.to_string().len() + routes * 40;
  let _ = version;
  Ok((count_u64(rss_kb), count(bytes)))
}
