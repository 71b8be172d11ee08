//! `cumindoor gateway`: one gateway on a platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use eyre::{WrapErr, eyre};
use tokio::signal::unix::{SignalKind, signal};

use super::print;
use crate::gateway::{Context, Gateway, Settings};
use crate::serve::telemetry::log_to_stdout;

/// How often the settings file is read without a signal.
const REREAD_PERIOD: Duration = Duration::from_secs(10);

#[derive(Debug, Args)]
pub(super) struct GatewayArgs {
    /// Settings of this gateway
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Serves until SIGTERM.
pub(super) fn run(args: &GatewayArgs) -> eyre::Result<()> {
    let settings = read(&args.settings)?;
    log_to_stdout(
        super::serve::level(settings.lines.level),
        settings.lines.rate.0,
    )?;
    // One thread: the process has a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let served = runtime.block_on(serve(settings, &args.settings));
    log::logger().flush();
    served
}

fn read(path: &Path) -> eyre::Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("cannot read {file}"))?;
    Settings::parse(&file, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        eyre!("the settings are not valid:\n{}", lines.join("\n"))
    })
}

/// Takes over changed settings on SIGHUP, and now and then without it; faulty ones are reported
/// and left.
async fn reload(ctx: Arc<Context>, path: PathBuf) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("reload asked for"),
            () = tokio::time::sleep(REREAD_PERIOD) => {}
        }
        match read(&path) {
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
    let catalogue = Arc::new(platform::StoreCodec);
    let dialect = Arc::new(platform::HeaderCodec);
    let gateway = Gateway::bind(settings, catalogue, dialect, seed).await?;
    print(&format!("callers {}\n", gateway.callers()));
    log::info!(vm = vm.as_str(); "started");
    let reloading = tokio::spawn(reload(Arc::clone(gateway.context()), path.to_owned()));
    gateway.run_until_signal().await?;
    reloading.abort();
    Ok(())
}
