//! The requests of the demonstration and the checks of their responses.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use serde_json::{Value, json};

use super::client::{self, StreamedResponse};
use super::fleet::Fleet;
use super::report::{Report, excerpt};

/// Output length of the summary.
const SUMMARY_TOKENS: u32 = 300;

/// Number of tokens of the summary after which its decode engine is crashed.
const CRASH_AFTER_TOKENS: u32 = 120;

/// Number of tokens between two progress lines.
const PROGRESS_STEP_TOKENS: u32 = 60;

/// Output length of the chat.
const CHAT_TOKENS: u32 = 40;

/// Delay from the start of the summary to the start of the chat.
const CHAT_DELAY: Duration = Duration::from_millis(300);

/// Number of days in the voyage log, which makes a prompt of about 12,000 tokens.
const LOG_DAYS: usize = 470;

/// The prompt of the chat.
const CHAT_PROMPT: &str = "How many minutes are left on card 4471?";

/// Requests a long summary and, while it runs, a short chat.
pub(super) async fn summary_and_chat(
    report: &Report,
    fleet: &Fleet,
    addr: SocketAddr,
) -> eyre::Result<()> {
    report.title("A long summary, and a short chat while it runs");
    let log = voyage_log();
    let (summary, chat) = tokio::try_join!(
        summary(report, fleet, addr, &log),
        chat(report, fleet, addr)
    )?;
    ensure!(
        summary.text == standin::answer(&log, SUMMARY_TOKENS),
        "summary: the text differs from the one that the engines generate"
    );
    report.timed_line(&format!(
        "summary: complete with {SUMMARY_TOKENS} tokens after {:.2} s, first token after {:.2} s",
        summary.total.as_secs_f64(),
        summary.first_token.as_secs_f64(),
    ));
    fleet.report_runs(report, &log);
    report.timed_line(&format!("  answer: \"{}\"", excerpt(&summary.text)));
    drop(chat);
    Ok(())
}

async fn summary(
    report: &Report,
    fleet: &Fleet,
    addr: SocketAddr,
    log: &str,
) -> eyre::Result<StreamedResponse> {
    let tokens = standin::prompt_tokens(log);
    report.timed_line(&format!(
        "summary: asked of logreader, a log of {tokens} tokens"
    ));
    let body = json!({
        "model": "logreader", "prompt": log, "max_tokens": SUMMARY_TOKENS, "stream": true,
    });
    client::stream(addr, "/v1/completions", &body, async |tokens| {
        if tokens % PROGRESS_STEP_TOKENS == 0 {
            report.timed_line(&format!("summary: {tokens} of {SUMMARY_TOKENS} tokens"));
        }
        if tokens == CRASH_AFTER_TOKENS
            && let Some(member) = fleet.decoding_engine(log)
        {
            member.engine.crash().await;
            let name = &member.entry.name;
            report.timed_line(&format!("summary: its decode engine {name} dies now"));
        }
    })
    .await
}

async fn chat(report: &Report, fleet: &Fleet, addr: SocketAddr) -> eyre::Result<StreamedResponse> {
    tokio::time::sleep(CHAT_DELAY).await;
    report.timed_line("chat: asked of airtime-desk");
    let body = json!({
        "model": "airtime-desk", "max_tokens": CHAT_TOKENS, "stream": true,
        "messages": [{ "role": "user", "content": CHAT_PROMPT }],
    });
    let response = client::stream(addr, "/v1/chat/completions", &body, async |_| {}).await?;
    let prompt = crate::serve::caller::chat_prompt([("user", CHAT_PROMPT)]);
    ensure!(
        response.text == standin::answer(&prompt, CHAT_TOKENS),
        "chat: the text differs from the one that the engines generate"
    );
    report.timed_line(&format!(
        "chat: complete after {:.0} ms, first token after {:.0} ms",
        response.total.as_secs_f64() * 1_000.0,
        response.first_token.as_secs_f64() * 1_000.0,
    ));
    fleet.report_runs(report, &prompt);
    report.timed_line(&format!("  answer: \"{}\"", excerpt(&response.text)));
    Ok(response)
}

/// Tops up a card twice; the service closes the connection before its second response.
pub(super) async fn top_ups(report: &Report, fleet: &Fleet, addr: SocketAddr) -> eyre::Result<()> {
    report.title("Two top-ups, which must not be repeated");
    let body = json!({ "card": 4471, "minutes": 30 });
    let key = uuid::Uuid::now_v7().to_string();
    let (status, response) = client::call(addr, "/top-up/credit", &key, &body).await?;
    report.timed_line(&format!(
        "top-up 1: status {status}, run {} of the service: {}",
        response["run"],
        response["body"].as_str().unwrap_or_default()
    ));
    ensure!(
        status == 200 && fleet.plain.runs(&key) == 1,
        "top-up 1: expected status 200 and one run of the service, got status {status}"
    );

    fleet.plain.update_faults(|fault| fault.fail_after = true);
    let key = uuid::Uuid::now_v7().to_string();
    let (status, response) = client::call(addr, "/top-up/credit", &key, &body).await?;
    fleet.plain.update_faults(|fault| fault.fail_after = false);
    report.timed_line("top-up 2: the service ran it and lost the answer");
    report.timed_line(&format!("  status {status}: {}", error_summary(&response)));
    let runs = fleet.plain.runs(&key);
    ensure!(runs == 1, "top-up 2 ran {runs} times; expected 1");
    report.timed_line("  the service ran it once");
    ensure!(
        response["error"]["kind"] == "unknown",
        "top-up 2: expected an error of kind `unknown`"
    );
    Ok(())
}

fn error_summary(response: &Value) -> String {
    let error = &response["error"];
    let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    format!("{}, {}", field("kind"), field("message"))
}

/// Returns the prompt of the summary, a text of about 48 KB.
fn voyage_log() -> String {
    let mut log = String::from("Summarise the voyage of the Estrela do Norte.\n");
    for day in 1..=LOG_DAYS {
        let wind = 4 + day * 7 % 23;
        let fuel = 4_000 - day * 5;
        let _ = writeln!(
            log,
            "Day {day}: wind {wind} kn from the east, sea moderate, fuel {fuel} l, crew well, \
             engine checked at noon."
        );
    }
    log
}
