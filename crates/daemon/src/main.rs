//! The nickelflow program: runs one scheduler on real sockets, or an operator's command for a fleet of
//! schedulers.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use nickelflow_cli::{
    exit_status, load_document, run_rules_command, Arguments, CliCommand, CliError, LogFormat, RulesSettings,
    Settings,
};
use nickelflow_control_plane::ControlPlane;
use nickelflow_daemon::config::{self, Config};
use nickelflow_daemon::counters::SharedCounters;
use nickelflow_daemon::shutdown::{self, ShutdownSchedule, Signals};
use tokio::sync::watch;
use tracing::{error, info, warn};
use tracing_subscriber::EnvFilter;

/// Starts the control plane, by which this scheduler adopts rules together with the others. `name` applies if
/// the settings have none.
async fn start_control_plane(settings: &RulesSettings, name: &str) -> Result<ControlPlane, String> {
    let voting = settings.voter_id.zip(settings.data_dir.clone());
    let config = nickelflow_control_plane::ControlPlaneConfig {
        fleet: settings.fleet.clone(),
        name: settings.name.clone().unwrap_or_else(|| name.to_owned()),
        voters: settings.voters().map_err(|error| error.to_string())?,
        voter: voting.map(|(id, data)| nickelflow_control_plane::VoterConfig { id, data_dir: data }),
        lease: settings.lease_config().map_err(|error| error.to_string())?,
        local_lease: settings.local_lease_config().map_err(|error| error.to_string())?,
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
    };
    nickelflow_daemon::rules_conversion::start_control_plane(config, settings.listen)
        .await
        .map_err(|error| error.to_string())
}

async fn serve(settings: Option<Settings>) -> Result<(), String> {
    // Installed before anything can consider the program ready: without a handler, each of these signals
    // terminates it.
    let signals = Signals::install().map_err(|error| format!("signals: {error}"))?;
    let env = |name: &str| std::env::var(name).ok();
    let config = Config::load(env).map_err(|error| error.to_string())?;
    let control_plane = match settings.and_then(|settings| settings.rules) {
        Some(rules) => Some(start_control_plane(&rules, &config.name).await?),
        None => None,
    };
    let listener = nickelflow_daemon::listen::listen(config.listen).await;
    let listener =
        listener.map_err(|error| format!("listen: cannot listen on {}: {error}", config.listen))?;
    let counters = SharedCounters::default();
    let longest_deadline =
        config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let (trigger, shutdown) =
        shutdown::shutdown_channel(ShutdownSchedule::new(Duration::from_nanos(longest_deadline)));
    let (discovery, discovery_changes) = watch::channel(config.discovery);
    let identity = config.identity.clone();
    let reload = || match config::reload_discovery(env, &identity) {
        Ok(address) => {
            info!(discovery = %address, "configuration reloaded");
            discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
        }
        Err(error) => {
            let why = error.to_string();
            warn!(why, "configuration reload failed, keeping the old one");
        }
    };
    let graceful_shutdown = async {
        signals.wait_for_termination(counters.clone(), reload).await;
        info!("shutting down");
        trigger.run().await;
        std::future::pending().await
    };
    let active_rules = control_plane.as_ref().map(|control_plane| control_plane.active_rules.clone());
    let served = tokio::select! {
        served = nickelflow_daemon::run(
            config,
            discovery_changes,
            listener,
            counters.clone(),
            shutdown,
            active_rules,
        ) => {
            served.map_err(|error| error.to_string())
        }
        failed = graceful_shutdown => failed,
    };
    info!("counters: {counters}");
    // This scheduler sends nothing any more, so that another one may take over its membership.
    control_plane.into_iter().for_each(ControlPlane::shut_down);
    served
}

/// Why the program exits with a status other than 0.
struct Failure {
    exit_status: u8,
    /// The message to print. It is empty if it has already been logged.
    message: String,
}

impl From<CliError> for Failure {
    fn from(error: CliError) -> Failure {
        Failure { exit_status: error.exit_status(), message: error.to_string() }
    }
}

fn run_scheduler(settings: Option<Settings>, format: LogFormat) -> Result<(), Failure> {
    let filter = EnvFilter::try_from_env("NICKELFLOW_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(e) => Err(format!("runtime: {e}")),
    };
    served.map_err(|why| {
        error!("scheduler stopped: {why}");
        Failure { exit_status: exit_status::FAILED, message: String::new() }
    })
}

fn run_command(arguments: Arguments) -> Result<(), Failure> {
    let settings = arguments.config.as_deref().map(Settings::load).transpose().map_err(CliError::from)?;
    match arguments.command {
        None | Some(CliCommand::Run) => run_scheduler(settings, arguments.log_format),
        Some(CliCommand::Check { file }) => {
            let document = load_document(&file)?;
            println!("{}: sound, {} workers set apart", file.display(), document.workers.len());
            Ok(())
        }
        Some(CliCommand::Rules(command)) => {
            let settings =
                settings.and_then(|settings| settings.rules).ok_or(CliError::MissingRulesSettings)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| Failure {
                exit_status: exit_status::FAILED,
                message: format!("runtime: {e}"),
            })?;
            print!("{}", runtime.block_on(run_rules_command(&settings, command))?);
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run_command(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if !failure.message.is_empty() {
                eprintln!("{}", failure.message);
            }
            ExitCode::from(failure.exit_status)
        }
    }
}
