//! `cumindoor gateway`: runs a gateway for the upstreams that a platform publishes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use eyre::{WrapErr, eyre};
use tokio::signal::unix::{SignalKind, signal};

use super::write_stdout;
use crate::gateway::callers::shares::limit_to_machine;
use crate::gateway::{Context, Gateway, Settings};
use crate::serve::telemetry::log_to_stdout;

/// How often the settings file is read again without SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Args)]
pub(super) struct GatewayArgs {
    /// Settings file of this gateway
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs the gateway until SIGTERM.
pub(super) fn run(args: &GatewayArgs) -> eyre::Result<()> {
    let settings = read_settings(&args.settings)?;
    log_to_stdout(
        super::serve::level_filter(settings.lines.level),
        settings.lines.rate.0,
    )?;
    // The process is allotted less than one core, so it runs on one thread.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(settings, &args.settings));
    log::logger().flush();
    result
}

fn read_settings(path: &Path) -> eyre::Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("cannot read {file}"))?;
    let mut settings = Settings::parse(&file, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        eyre!("the settings are not valid:\n{}", lines.join("\n"))
    })?;
    limit_to_machine(&mut settings.resources, machine_memory());
    Ok(settings)
}

/// Returns the memory of the machine in bytes.
fn machine_memory() -> u64 {
    let info = rustix::system::sysinfo();
    // The types differ between platforms.
    let (units, unit) = (u128::from(info.totalram), u128::from(info.mem_unit));
    u64::try_from(units * unit).unwrap_or(u64::MAX)
}

/// Reloads the settings on SIGHUP and every [`RELOAD_INTERVAL`].
///
/// Invalid settings are logged and the current ones stay in force.
async fn reload_settings(ctx: Arc<Context>, path: PathBuf) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("reload asked for"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match read_settings(&path) {
            Ok(settings) => ctx.reload(settings),
            Err(error) => {
                let error = format!("{error:#}");
                log::error!(error = error.as_str(); "settings not reloaded");
            }
        }
    }
}

async fn serve(settings: Settings, path: &Path) -> eyre::Result<()> {
    let vm = settings.gateway.name.clone();
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    let store_codec = Arc::new(platform::StoreCodec);
    let header_codec = Arc::new(platform::HeaderCodec);
    let gateway = Gateway::bind(settings, store_codec, header_codec, seed).await?;
    write_stdout(&format!("callers {}\n", gateway.callers()));
    log::info!(vm = vm.as_str(); "started");
    let reload_task = tokio::spawn(reload_settings(
        Arc::clone(gateway.context()),
        path.to_owned(),
    ));
    gateway.run_until_signal().await?;
    reload_task.abort();
    Ok(())
}
