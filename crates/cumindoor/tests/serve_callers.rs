//! Faulty callers: request heads and bodies, unknown names, and too many connections.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, FleetOptions, chat_body, wait_until, with_timeout};
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n\
                    x-organisation: celeste\r\ncontent-type: application/json\r\n";

/// Returns a plan with limits that a test reaches quickly.
fn small_limits() -> FleetOptions {
    let mut plan = FleetOptions::default();
    let limits = &mut plan.serve.limits;
    limits.body_bytes = 64 * 1024;
    limits.body_timeout = Duration::from_millis(300);
    limits.header_timeout = Duration::from_millis(300);
    limits.linger_timeout = Duration::from_millis(500);
    plan
}

/// Sends raw bytes, then `more` repeatedly until the router stops reading.
///
/// Returns the status and the error of the response.
async fn raw(addr: SocketAddr, first: String, more: Option<&'static str>) -> (u16, Value) {
    let (mut reader, mut writer) = TcpStream::connect(addr).await.unwrap().into_split();
    let writing = tokio::spawn(async move {
        writer.write_all(first.as_bytes()).await?;
        while let Some(more) = more {
            writer.write_all(more.as_bytes()).await?;
        }
        // The connection stays open, as that of a slow caller does.
        std::future::pending::<std::io::Result<()>>().await
    });
    let mut text = String::new();
    with_timeout("an answer", reader.read_to_string(&mut text))
        .await
        .unwrap();
    writing.abort();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    (status.unwrap_or(0), json["error"].clone())
}

async fn assert_idle(fleet: &Fleet) {
    wait_until("the router is idle", || fleet.router_idle()).await;
    assert!(fleet.engines().all(|engine| engine.counts().prefills == 0));
}

/// Guards against invalid input that crashes the router, holds its resources or is refused without a
/// reason.
#[rstest]
#[case::announced_too_large(format!("{HEAD}content-length: 9000000\r\n\r\n"), None, 413, "body-too-large")]
#[case::endless(format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), Some("400\r\n"), 413, "body-too-large")]
#[case::slow(format!("{HEAD}content-length: 100\r\n\r\n{{"), None, 408, "body-timeout")]
#[case::malformed(format!("{HEAD}content-length: 5\r\nconnection: close\r\n\r\n{{\"a\":"), None, 400, "malformed")]
#[case::broken_chunk(format!("{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n"), None, 400, "malformed")]
#[case::slow_head("POST /v1/chat/completions HTTP/1.1\r\nhost:".to_owned(), None, 408, "header-timeout")]
#[tokio::test]
async fn refuses_bad_input(
    #[case] first: String,
    #[case] more: Option<&'static str>,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fleet = small_limits().start().await;
    // One chunk of 1,024 bytes.
    let chunk: &'static str =
        Box::leak(format!("400\r\n{}\r\n", "x".repeat(1024)).into_boxed_str());
    let more = more.map(|_| chunk);

    let (got, error) = raw(fleet.server.addr(), first, more).await;

    assert_eq!(got, status, "{error}");
    assert_eq!(error["reason"], reason);
    assert_eq!(error["kind"], "not-run");
    assert_idle(&fleet).await;
}

/// Guards against a request head without an end that fills the memory of the router.
#[tokio::test]
async fn refuses_an_endless_head() {
    let fleet = small_limits().start().await;
    let first = HEAD.to_owned();

    let (status, _) = raw(
        fleet.server.addr(),
        first,
        Some("x-more: aaaaaaaaaaaaaaaa\r\n"),
    )
    .await;

    assert_eq!(status, 431);
    assert_idle(&fleet).await;
}

/// Guards against requests for unknown organisations, services or paths that are served or that are
/// refused without a reason.
#[rstest]
#[case::no_organisation("/v1/chat/completions", "", "{}", 400, "organisation")]
#[case::other_organisation("/v1/chat/completions", "souk", "", 404, "no-service")]
#[case::no_such_model(
    "/v1/chat/completions",
    "celeste",
    r#"{"model":"x","messages":[{"role":"user","content":"a"}]}"#,
    404,
    "no-service"
)]
#[case::no_such_path("/nothing/here", "celeste", "{}", 404, "no-service")]
#[case::no_messages(
    "/v1/chat/completions",
    "celeste",
    r#"{"model":"chat","messages":[]}"#,
    400,
    "malformed"
)]
#[case::two_answers(
    "/v1/completions",
    "celeste",
    r#"{"model":"chat","prompt":"a","n":2}"#,
    400,
    "malformed"
)]
#[tokio::test]
async fn refuses_what_nobody_serves(
    #[case] path: &str,
    #[case] organisation: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fleet = FleetOptions::default().start().await;
    let body = if body.is_empty() {
        chat_body("Hello", 5, true)
    } else {
        body.to_owned()
    };
    let mut request = common::request(path, &[], body);
    let name = organisation.parse().unwrap();
    request.headers_mut().insert("x-organisation", name);

    let answer = common::send(fleet.server.addr(), request).await.unwrap();
    let got = answer.status;
    let error = answer.json().await["error"].clone();

    assert_eq!(got, status, "{error}");
    assert_eq!(error["reason"], reason);
    assert_eq!(error["kind"], "not-run");
}

/// Guards against callers that exceed the connection limit and get no response.
#[tokio::test]
async fn refuses_connections_over_the_limit() {
    let mut plan = FleetOptions::default();
    plan.serve.limits.connections = 1;
    let fleet = plan.start().await;
    let first = TcpStream::connect(fleet.server.addr()).await.unwrap();
    wait_until("connection is counted", || fleet.server.connections() == 1).await;

    let answer = fleet.chat("Too many", 5, true).await;
    let status = answer.status;
    let error = answer.json().await["error"].clone();
    drop(first);
    wait_until("connection was closed", || fleet.server.connections() == 0).await;
    let events = fleet.chat("Now", 5, true).await.events().await;

    assert_eq!(status, 503);
    assert_eq!(error["reason"], "connections");
    assert!(error["retry_after_ms"].as_u64().is_some());
    assert!(events.done);
}

/// Guards against an organisation that exceeds its limit of open requests.
#[tokio::test]
async fn refuses_open_requests_over_the_limit() {
    let mut plan = FleetOptions::default();
    plan.services[0].open_limit = 1;
    let fleet = plan.start().await;
    let (reading, _) = fleet.stalled_chat("First", 5).await;

    let second = fleet.chat("Second", 5, true).await;
    let status = second.status;
    fleet.resume_decodes();
    let events = with_timeout("the first answer", reading).await.unwrap();

    assert_eq!(status, 429);
    assert!(events.done);
}

/// Guards against a completion in the format of a chat, and against a missing usage event although
/// the caller set `include_usage`.
#[tokio::test]
async fn completes_a_prompt_with_a_usage_event() {
    let fleet = FleetOptions::default().start().await;
    let body = r#"{"model":"chat","prompt":"Once","max_tokens":9,"stream":true,
                   "stream_options":{"include_usage":true}}"#;

    let mut answer =
        common::post(fleet.server.addr(), "/v1/completions", &[], body.to_owned()).await;
    let mut all = Vec::new();
    while let Some(event) = answer.event().await {
        all.push(event);
    }

    let usage: Value = serde_json::from_str(&all[all.len() - 2]).unwrap();
    assert_eq!(usage["choices"], serde_json::json!([]));
    assert_eq!(usage["usage"]["completion_tokens"], 9);
    let text: String = all[..9]
        .iter()
        .map(|event| serde_json::from_str::<Value>(event).unwrap())
        .map(|event| event["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(text, standin::answer("Once", 9));
}
