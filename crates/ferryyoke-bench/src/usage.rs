use super::*;

/// The resources that a fleet has used since it started. Vectors have one value per box.
pub struct Usage {
  /// When the values were read.
  at: Instant,
  /// Bytes received and sent on links between daemons.
  pub bytes: Vec<f64>,
  /// Calls received by the store.
  pub calls: f64,
  /// Processor time of the daemons, in microseconds.
  pub cpu_us: Vec<f64>,
  /// Resident memory of the daemons at this time, in kilobytes.
  pub rss_kb: Vec<f64>,
}

/// The resources that a fleet used per second between two readings. Vectors have one value per box.
pub struct Rates {
  /// Bytes received and sent on links between daemons, per second.
  pub bytes: Vec<f64>,
  /// Calls received by the store, per second.
  pub calls: f64,
  /// Processor cores used (1.0 is one full core).
  pub cpu_share: Vec<f64>,
}

impl Usage {
  /// Reads the current usage of a fleet. Boxes without a running daemon have no processor time and
  /// memory values.
  #[allow(clippy::cast_precision_loss)]
  pub async fn read(fleet: &Fleet) -> Result<Self> {
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

  /// Returns the usage per second since an earlier reading.
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
