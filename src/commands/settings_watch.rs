use super::*;

/// Detects changes of the settings file by polling it.
pub struct SettingsWatch {
  path: PathBuf,
  seen: Option<FileStamp>,
}

/// The time of the last modification of a file, and its size in bytes.
type FileStamp = (SystemTime, u64);

impl SettingsWatch {
  /// Interval in milliseconds between two polls of the file; a poll costs one system call.
  const POLL_MS: u64 = 1_000;

  /// Returns a watch on a file that was just read.
  pub fn new(path: &Path) -> Self {
    Self { path: path.into(), seen: file_stamp(path) }
  }

  /// Waits until the file differs from the last poll. A missing file does not count as a change: it
  /// may be about to be replaced.
  pub async fn changed(&mut self) {
    loop {
      timer::sleep(Duration::from_millis(Self::POLL_MS)).await;
      let found = file_stamp(&self.path);
      if found.is_some() && found != self.seen {
        self.seen = found;
        return;
      }
    }
  }

  /// Records that the file was read for another reason, so that its present state is no change.
  pub fn mark_read(&mut self) {
    self.seen = file_stamp(&self.path).or(self.seen);
  }
}

fn file_stamp(path: &Path) -> Option<FileStamp> {
  let metadata = fs::metadata(path).ok()?;
  Some((metadata.modified().ok()?, metadata.len()))
}
