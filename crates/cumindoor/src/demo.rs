//! A small fleet on one machine: stand-ins, one router and three requests.

mod client;
mod fleet;
mod report;
mod requests;
mod router;

use std::time::Duration;

use eyre::{ensure, eyre};
use tokio::signal::unix::{SignalKind, signal};

use fleet::Fleet;
use report::Report;
use router::Router;

/// The requests of the demonstration fail rather than take longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// The document that is in force: that of the first user.
const DOCUMENT: &str = include_str!("../../../examples/celeste/celeste.ini");

/// The organisation that owns it.
const ORGANISATION: &str = "celeste";

/// Runs the demonstration; with `keep`, leaves everything running until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if something cannot be started or an answer is not the expected one.
pub async fn run(keep: bool) -> eyre::Result<()> {
    let report = Report::start();
    let shown = tokio::time::timeout(TIME_LIMIT, show(&report));
    let shown = shown
        .await
        .map_err(|_| eyre!("not done within {TIME_LIMIT:?}"));
    let (fleet, router) = shown??;
    if keep {
        keep_running(&report, &router).await?;
    }
    let complete = router.stop().await;
    fleet.stop().await;
    ensure!(complete, "the router was stopped before it was idle");
    report.line("Stopped: no request was cut.");
    Ok(())
}

async fn show(report: &Report) -> eyre::Result<(Fleet, Router)> {
    report.title("Start");
    let fleet = Fleet::start().await?;
    fleet.describe(report);
    let router = Router::start(&fleet).await?;
    report.line(&format!("router on {} for callers", router.addr()));
    requests::summary_and_chat(report, &fleet, router.addr()).await?;
    fleet.revive().await?;
    requests::top_ups(report, &fleet, router.addr()).await?;
    fleet.summarise(report).await;
    Ok((fleet, router))
}

async fn keep_running(report: &Report, router: &Router) -> eyre::Result<()> {
    let addr = router.addr();
    report.title("Running until Ctrl-C");
    report.line(&format!("callers connect to http://{addr}; for example:"));
    report.plain(&format!(
        "curl -N http://{addr}/v1/chat/completions -H 'X-Organisation: {ORGANISATION}' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"airtime-desk\", \"stream\": true, \
         \"max_tokens\": 40, \"messages\": [{{\"role\": \"user\", \"content\": \"My \
         balance?\"}}]}}'"
    ));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
