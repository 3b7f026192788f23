use super::*;

/// Notices that the settings file changed, with or without a signal.
pub struct SettingsWatch {
  path: PathBuf,
  seen: Option<Stamp>,
}

/// What differs between two states of a file: when it was written, and its size in bytes.
type Stamp = (SystemTime, u64);

impl SettingsWatch {
  /// Milliseconds between two looks at the file: a look costs one system call.
  const LOOK_MS: u64 = 1_000;

  /// A watch on a file that was just read.
  pub fn new(path: &Path) -> Self {
    Self { path: path.into(), seen: stamp(path) }
  }

  /// Waits until the file is another one than at the last look. A file that is away for a moment, while
  /// another one takes its place, is no change yet.
  pub async fn changed(&mut self) {
    loop {
      timer::sleep(Duration::from_millis(Self::LOOK_MS)).await;
      let found = stamp(&self.path);
      if found.is_some() && found != self.seen {
        self.seen = found;
        return;
      }
    }
  }

  /// The file was read for another reason.
  pub fn note_read(&mut self) {
    self.seen = stamp(&self.path).or(self.seen);
  }
}

fn stamp(path: &Path) -> Option<Stamp> {
  let metadata = fs::metadata(path).ok()?;
  Some((metadata.modified().ok()?, metadata.len()))
}
