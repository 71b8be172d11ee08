//! `cumindoor demo`: runs a small fleet of stand-ins and one router, and sends it requests.

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

/// Time limit for starting the fleet and all requests; the demonstration fails after it.
const DEMO_TIMEOUT: Duration = Duration::from_secs(12);

/// The document that the platform publishes: the `celeste` example.
const DOCUMENT: &str = include_str!("../../../examples/celeste/celeste.ini");

/// The organisation that owns [`DOCUMENT`] and sends the requests.
const ORGANISATION: &str = "celeste";

/// Runs the demonstration; with `keep`, keeps the fleet running until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if a stand-in or the router cannot be started, a response is not the expected
/// one, or the requests do not finish within the time limit.
pub async fn run(keep: bool) -> eyre::Result<()> {
    let report = Report::start();
    let outcome = tokio::time::timeout(DEMO_TIMEOUT, run_requests(&report));
    let outcome = outcome
        .await
        .map_err(|_| eyre!("the requests did not finish within {DEMO_TIMEOUT:?}"));
    let (fleet, router) = outcome??;
    if keep {
        wait_for_signal(&report, &router).await?;
    }
    let complete = router.stop().await;
    fleet.stop().await;
    ensure!(
        complete,
        "the router stopped while requests were still running"
    );
    report.timed_line("Stopped: no request was cut.");
    Ok(())
}

async fn run_requests(report: &Report) -> eyre::Result<(Fleet, Router)> {
    report.title("Start");
    let fleet = Fleet::start().await?;
    fleet.report_setup(report);
    let router = Router::start(&fleet).await?;
    report.timed_line(&format!("router on {} for callers", router.addr()));
    requests::summary_and_chat(report, &fleet, router.addr()).await?;
    fleet.restart_engines().await?;
    requests::top_ups(report, &fleet, router.addr()).await?;
    fleet.report_totals(report).await;
    Ok((fleet, router))
}

async fn wait_for_signal(report: &Report, router: &Router) -> eyre::Result<()> {
    let addr = router.addr();
    report.title("Running until Ctrl-C");
    report.timed_line(&format!("callers connect to http://{addr}; for example:"));
    report.raw_line(&format!(
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
