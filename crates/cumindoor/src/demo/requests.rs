//! The requests of the demonstration.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use serde_json::{Value, json};

use super::client::{self, Streamed};
use super::fleet::Fleet;
use super::report::{Report, excerpt};

/// Tokens of the summary.
const SUMMARY_TOKENS: u32 = 300;

/// Tokens of the summary after which its decode engine dies.
const DEATH_AT: u32 = 120;

/// Tokens between two lines of progress.
const PROGRESS_STEP: u32 = 60;

/// Tokens of the short chat.
const CHAT_TOKENS: u32 = 40;

/// When the short chat starts after the summary.
const CHAT_DELAY: Duration = Duration::from_millis(300);

/// Days of the voyage log; about 12,000 tokens.
const LOG_DAYS: usize = 470;

/// The terminal's question.
const QUESTION: &str = "How many minutes are left on card 4471?";

/// Asks for a long summary and, while it runs, for a balance.
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
        "the summary is not the text that the engines generate"
    );
    report.line(&format!(
        "summary: complete with {SUMMARY_TOKENS} tokens after {:.2} s, first token after {:.2} s",
        summary.total.as_secs_f64(),
        summary.first_token.as_secs_f64(),
    ));
    fleet.hops(report, &log);
    report.line(&format!("  answer: \"{}\"", excerpt(&summary.text)));
    drop(chat);
    Ok(())
}

async fn summary(
    report: &Report,
    fleet: &Fleet,
    addr: SocketAddr,
    log: &str,
) -> eyre::Result<Streamed> {
    let tokens = standin::prompt_tokens(log);
    report.line(&format!(
        "summary: asked of logreader, a log of {tokens} tokens"
    ));
    let body = json!({
        "model": "logreader", "prompt": log, "max_tokens": SUMMARY_TOKENS, "stream": true,
    });
    client::stream(addr, "/v1/completions", &body, async |tokens| {
        if tokens % PROGRESS_STEP == 0 {
            report.line(&format!("summary: {tokens} of {SUMMARY_TOKENS} tokens"));
        }
        if tokens == DEATH_AT
            && let Some(member) = fleet.decoding(log)
        {
            member.engine.crash().await;
            let name = &member.entry.name;
            report.line(&format!("summary: its decode engine {name} dies now"));
        }
    })
    .await
}

async fn chat(report: &Report, fleet: &Fleet, addr: SocketAddr) -> eyre::Result<Streamed> {
    tokio::time::sleep(CHAT_DELAY).await;
    report.line("chat: asked of airtime-desk");
    let body = json!({
        "model": "airtime-desk", "max_tokens": CHAT_TOKENS, "stream": true,
        "messages": [{ "role": "user", "content": QUESTION }],
    });
    let answer = client::stream(addr, "/v1/chat/completions", &body, async |_| {}).await?;
    let prompt = crate::serve::caller::chat_prompt([("user", QUESTION)]);
    ensure!(
        answer.text == standin::answer(&prompt, CHAT_TOKENS),
        "the chat's answer is not the text that the engines generate"
    );
    report.line(&format!(
        "chat: complete after {:.0} ms, first token after {:.0} ms",
        answer.total.as_secs_f64() * 1_000.0,
        answer.first_token.as_secs_f64() * 1_000.0,
    ));
    fleet.hops(report, &prompt);
    report.line(&format!("  answer: \"{}\"", excerpt(&answer.text)));
    Ok(answer)
}

/// Tops up a card twice; the second answer is lost on its way from the service.
pub(super) async fn top_ups(report: &Report, fleet: &Fleet, addr: SocketAddr) -> eyre::Result<()> {
    report.title("Two top-ups, which must not be repeated");
    let body = json!({ "card": 4471, "minutes": 30 });
    let key = uuid::Uuid::now_v7().to_string();
    let (status, answer) = client::call(addr, "/top-up/credit", &key, &body).await?;
    report.line(&format!(
        "top-up 1: status {status}, run {} of the service: {}",
        answer["run"],
        answer["body"].as_str().unwrap_or_default()
    ));
    ensure!(status == 200 && fleet.plain.runs(&key) == 1, "not run once");

    fleet.plain.update_faults(|fault| fault.fail_after = true);
    let key = uuid::Uuid::now_v7().to_string();
    let (status, answer) = client::call(addr, "/top-up/credit", &key, &body).await?;
    fleet.plain.update_faults(|fault| fault.fail_after = false);
    report.line("top-up 2: the service ran it and lost the answer");
    report.line(&format!("  status {status}: {}", error(&answer)));
    let runs = fleet.plain.runs(&key);
    ensure!(runs == 1, "the top-up ran {runs} times");
    report.line("  the service ran it once");
    ensure!(
        answer["error"]["kind"] == "unknown",
        "the refusal does not say that the outcome is unknown"
    );
    Ok(())
}

fn error(answer: &Value) -> String {
    let error = &answer["error"];
    let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    format!("{}, {}", field("kind"), field("message"))
}

/// Returns a log of about 48 KB.
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
