//! nickelflow: one scheduler on real sockets.

use std::process::ExitCode;

use nickelflow_daemon::config::Config;
use nickelflow_daemon::counters::Shared;
use nickelflow_daemon::shutdown::{self, signalled};
use tracing::{error, info};
use tracing_subscriber::EnvFilter;

async fn serve() -> Result<(), String> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let listener = nickelflow_daemon::listen(config.listen);
    let listener = listener.map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
    let counters = Shared::default();
    let (trigger, stages) = shutdown::shutdown();
    let signals = signalled(counters.clone());
    let ending = async {
        signals.await.map_err(|e| format!("signals: {e}"))?;
        info!("told to end");
        trigger.pull().await;
        std::future::pending().await
    };
    let served = tokio::select! {
        served = nickelflow_daemon::run(config, listener, counters.clone(), stages) => served,
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
