//! `ferryyoke run`.

use super::*;

use crate::daemon::signals::Request;

/// Runs a daemon until a signal stops it.
pub fn run(path: &Path) -> Result {
  let settings = Settings::load(path)?;
  let log = Log::new(settings.log_format, settings.log_level);
  let signals = Signals::register().map_err(|err| Error::Daemon(daemon::Error::Runtime(err)))?;
  block_on(serve(path, settings, log, signals))?
}

async fn serve(path: &Path, settings: Settings, log: Log, signals: Signals) -> Result {
  let listeners = Listeners::bind(&settings)?;
  let clock = Rc::new(SystemClock::new());
  let flushing = log.clone();
  monoio::spawn(async move {
    loop {
      timer::sleep(Duration::from_millis(BufferedOutput::FLUSH_MS)).await;
      flushing.flush();
    }
  });
  let daemon = Daemon::start(settings, listeners, clock, log.clone(), rand::random());
  let mut watch = SettingsWatch::new(path);
  while next_request(&signals, &mut watch).await? == Request::Reload {
    watch.mark_read();
    daemon.reload(Settings::load(path));
  }
  daemon.stop().await;
  log.flush();
  Ok(())
}

/// Waits for a signal or for a change of the settings file, which requests a reload.
async fn next_request(signals: &Signals, watch: &mut SettingsWatch) -> Result<Request> {
  let signal = Box::pin(signals.next());
  let changed = Box::pin(watch.changed());
  match futures_util::future::select(signal, changed).await {
    futures_util::future::Either::Left((asked, _)) => {
      asked.map_err(|err| Error::Daemon(daemon::Error::Runtime(err)))
    }
    futures_util::future::Either::Right(((), _)) => Ok(Request::Reload),
  }
}
