//! nickelflow: one scheduler on real sockets.

use std::process::ExitCode;

use nickelflow_daemon::config::{self, Config};
use nickelflow_daemon::counters::Shared;
use nickelflow_daemon::shutdown::{self, Signals};
use tokio::sync::watch;
use tracing::{error, info, warn};
use tracing_subscriber::EnvFilter;

async fn serve() -> Result<(), String> {
    // Before anything can take the program for ready: uncaught, each of these signals would end it.
    let signals = Signals::install().map_err(|e| format!("signals: {e}"))?;
    let env = |name: &str| std::env::var(name).ok();
    let config = Config::load(env)?;
    let listener = nickelflow_daemon::listen(config.listen);
    let listener = listener.map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
    let counters = Shared::default();
    let (trigger, stages) = shutdown::shutdown();
    let (discovery, moved) = watch::channel(config.discovery);
    let read_again = || match config::discovery_again(env) {
        Ok(address) => {
            info!(discovery = %address, "configuration read again");
            discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
        }
        Err(why) => warn!(why, "configuration not taken, the old one stays"),
    };
    let ending = async {
        signals.end(counters.clone(), read_again).await;
        info!("told to end");
        trigger.pull().await;
        std::future::pending().await
    };
    let served = tokio::select! {
        served = nickelflow_daemon::run(config, moved, listener, counters.clone(), stages) => served,
        failed = ending => failed,
    };
    info!("counters: {counters}");
    served
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env("NICKELFLOW_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(serve()),
        Err(e) => Err(format!("runtime: {e}")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            error!("{why}");
            ExitCode::FAILURE
        }
    }
}
