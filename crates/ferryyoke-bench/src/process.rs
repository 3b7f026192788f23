use super::*;

/// A child process, killed when dropped.
pub struct Process {
  child: Child,
}

impl Process {
  /// Starts `executable` as `ferryyoke` with the arguments `words`. Its output goes to the file
  /// `log`, which is overwritten.
  pub fn start(executable: &Path, words: &[String], log: &Path) -> Result<Self> {
    Self::spawn(std::process::Command::new(executable), words, log)
  }

  /// Like [`Self::start`], with a limit of `descriptors_max` on the open descriptors of the process.
  pub fn start_with_descriptors(
    executable: &Path,
    words: &[String],
    log: &Path,
    descriptors_max: u32,
  ) -> Result<Self> {
    let script = format!("ulimit -n {descriptors_max} && exec \"$0\" \"$@\"");
    let mut command = std::process::Command::new("sh");
    command.args(["-c", &script]).arg(executable);
    Self::spawn(command, words, log)
  }

  fn spawn(mut command: std::process::Command, words: &[String], log: &Path) -> Result<Self> {
    let log = fs::File::create(log)?;
    let child = command
      .arg(AS_FERRYYOKE)
      .args(words)
      .env("FERRYYOKE_FLEET_KEY", "the key of a fleet on loopback")
      .stdin(Stdio::null())
      .stdout(log.try_clone()?)
      .stderr(log)
      .spawn()?;
    Ok(Self { child })
  }

  /// Returns the process id.
  pub fn id(&self) -> u32 {
    self.child.id()
  }

  /// Sends a signal by name, such as `KILL`, `STOP`, `CONT` or `TERM`.
  pub fn signal(&self, name: &str) -> Result {
    let id = self.id().to_string();
    let status = std::process::Command::new("kill").args([&format!("-{name}"), &id]).status()?;
    if status.success() {
      Ok(())
    } else {
      Err(Error::Unexpected(format!("`kill -{name} {id}` failed: {status}")))
    }
  }

  /// Kills the process and waits until it has exited.
  pub fn kill(&mut self) -> Result {
    self.child.kill()?;
    self.child.wait()?;
    Ok(())
  }

  /// Returns the exit code, or `None` while the process runs or if a signal ended it.
  pub fn exit_code(&mut self) -> Result<Option<i32>> {
    Ok(self.child.try_wait()?.and_then(|status| status.code()))
  }

  /// Returns the processor time used so far (user and system), in microseconds.
  pub fn cpu_us(&self) -> Result<u64> {
    /// Linux reports processor time in ticks of 10 ms on every platform that this tool runs on.
    const US_PER_TICK: u64 = 10_000;
    let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let (user, system) = (ticks(11).unwrap_or(0), ticks(12).unwrap_or(0));
    Ok((user + system) * US_PER_TICK)
  }

  /// Returns the number of open descriptors.
  pub fn descriptors(&self) -> Result<usize> {
    Ok(fs::read_dir(format!("/proc/{}/fd", self.id()))?.count())
  }

  /// Returns a size from `/proc/PID/status` in kilobytes, such as `VmRSS` or `VmHWM`.
  pub fn memory_kb(&self, name: &str) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| Error::Unexpected(format!("/proc/{}/status has no {name}", self.id())))
  }
}

impl Drop for Process {
  fn drop(&mut self) {
    self.child.kill().ok();
    self.child.wait().ok();
  }
}
