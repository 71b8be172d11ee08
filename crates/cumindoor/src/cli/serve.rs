//! `cumindoor serve`: runs the router of one VM.

use std::path::PathBuf;

use clap::Args;
use eyre::{WrapErr, eyre};

use super::{block_on, write_stdout};
use crate::serve::telemetry::{TraceLog, init_logging, init_tracing};
use crate::serve::{Node, NodeOptions};
use crate::settings::{LogLevel, Settings};

#[derive(Debug, Args)]
pub(super) struct ServeArgs {
    /// Settings file of this VM
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs the router until SIGTERM.
pub(super) fn run(args: &ServeArgs) -> eyre::Result<()> {
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings);
    let text = text.wrap_err_with(|| format!("cannot read {file}"))?;
    let settings = Settings::parse(&file, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        eyre!("the settings are not valid:\n{}", lines.join("\n"))
    })?;
    init_logging(level_filter(settings.log.level))?;
    if settings.log.level >= LogLevel::Debug {
        init_tracing(TraceLog);
    }
    block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let options = NodeOptions::from_settings(&settings).await?;
    write_stdout(&format!("peers {}\n", options.listener.addr()?));
    let node = Node::join(&settings, options).await?;
    write_stdout(&format!("callers {}\n", node.addr()));
    log::info!(vm = settings.vm.name.as_str(); "serving");
    node.run_until_signal().await?;
    Ok(())
}

pub(super) fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
