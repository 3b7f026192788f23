use super::*;

/// What the daemons of a fleet used so far, box by box.
pub struct Usage {
  /// When this was read.
  at: Instant,
  /// Bytes received and sent on links.
  pub bytes: Vec<f64>,
  /// Calls that the store took.
  pub calls: f64,
  /// Microseconds of processor time.
  pub cpu_us: Vec<f64>,
  /// Resident memory in kilobytes.
  pub rss_kb: Vec<f64>,
}

/// What a fleet used a second between two readings, box by box.
pub struct Rates {
  /// Bytes received and sent on links, a second.
  pub bytes: Vec<f64>,
  /// Calls that the store took, a second.
  pub calls: f64,
  /// Share of a core.
  pub cpu_share: Vec<f64>,
}

impl Usage {
  /// Reads what a fleet used so far.
  #[allow(clippy::cast_precision_loss)]
  pub async fn of(fleet: &Fleet) -> Result<Self> {
    let mut usage = Self {
      at: Instant::now(),
      bytes: Vec::new(),
      calls: fleet.store_calls().await? as f64,
      cpu_us: Vec::new(),
      rss_kb: Vec::new(),
    };
    for one in &fleet.boxes {
      usage.bytes.push(one.scrape().await?.sum("ferryyoke_link_bytes_total"));
      if let Some(daemon) = &one.daemon {
        usage.cpu_us.push(daemon.cpu_us()? as f64);
        usage.rss_kb.push(daemon.memory_kb("VmRSS")? as f64);
      }
    }
    Ok(usage)
  }

  /// What was used a second since an earlier reading.
  pub fn since(&self, earlier: &Self) -> Rates {
    let seconds = self.at.duration_since(earlier.at).as_secs_f64();
    let rate = |later: &[f64], earlier: &[f64]| -> Vec<f64> {
      later.iter().zip(earlier).map(|(later, earlier)| (later - earlier) / seconds).collect()
    };
    let cpu_us_per_s = rate(&self.cpu_us, &earlier.cpu_us);
    Rates {
      bytes: rate(&self.bytes, &earlier.bytes),
      calls: (self.calls - earlier.calls) / seconds,
      cpu_share: cpu_us_per_s.into_iter().map(|us| us / 1e6).collect(),
    }
  }
}
