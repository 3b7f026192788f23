//! `ferryyoke run`.

use super::*;

use crate::daemon::signals::Request;

/// Runs a daemon until it is asked to stop.
pub fn run(path: &Path) -> Result {
  let settings = Settings::load(path)?;
  let log = Log::new(settings.log_format, settings.log_level);
  let signals = Signals::take().map_err(|err| Error::Daemon(daemon::Error::Runtime(err)))?;
  block_on(serve(path, settings, log, signals))?
}

async fn serve(path: &Path, settings: Settings, log: Log, signals: Signals) -> Result {
  let listeners = Listeners::bind(&settings)?;
  let clock = Rc::new(SystemClock::new());
  let flushing = log.clone();
  monoio::spawn(async move {
    loop {
      monoio::time::sleep(Duration::from_millis(Outlet::FLUSH_MS)).await;
      flushing.flush();
    }
  });
  let daemon = Daemon::start(settings, listeners, clock, log.clone(), rand::random());
  while signals.next().await.map_err(|err| Error::Daemon(daemon::Error::Runtime(err)))?
    == Request::Reload
  {
    daemon.reload(Settings::load(path));
  }
  daemon.stop().await;
  log.flush();
  Ok(())
}
