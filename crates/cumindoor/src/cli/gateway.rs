//! `cumindoor gateway`: one gateway on a platform.

use std::path::PathBuf;
use std::sync::Arc;

use clap::Args;
use eyre::{WrapErr, eyre};

use super::print;
use crate::gateway::{Gateway, Settings};
use crate::serve::telemetry::log_to_stdout;

#[derive(Debug, Args)]
pub(super) struct GatewayArgs {
    /// Settings of this gateway
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Serves until SIGTERM.
pub(super) fn run(args: &GatewayArgs) -> eyre::Result<()> {
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings);
    let text = text.wrap_err_with(|| format!("cannot read {file}"))?;
    let settings = Settings::parse(&file, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        eyre!("the settings are not valid:\n{}", lines.join("\n"))
    })?;
    log_to_stdout(
        super::serve::level(settings.lines.level),
        settings.lines.rate.0,
    )?;
    // One thread: the process has a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let vm = settings.gateway.name.clone();
    let seed = uuid::Uuid::new_v4().as_u64_pair().0;
    let catalogue = Arc::new(platform::Store);
    let dialect = Arc::new(platform::Headers);
    let gateway = Gateway::bind(settings, catalogue, dialect, seed).await?;
    print(&format!("callers {}\n", gateway.callers()));
    log::info!(vm = vm.as_str(); "started");
    gateway.run_until_signal().await?;
    Ok(())
}
