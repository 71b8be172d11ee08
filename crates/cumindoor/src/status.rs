//! What a VM reports on its peer port, for people.

mod table;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, ensure, eyre};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use tokio::net::TcpStream;

/// Bytes of a report at most.
const REPORT_LIMIT: usize = 16 << 20;

/// Asks the VM whose peer port is `at` for its report.
///
/// # Errors
///
/// Returns an error if the VM does not answer within `timeout` or answers something else.
pub async fn fetch(at: SocketAddr, timeout: Duration) -> eyre::Result<Value> {
    let fetched = tokio::time::timeout(timeout, get(at)).await;
    fetched
        .map_err(|_| eyre!("no answer within {timeout:?}"))
        .and_then(|answer| answer)
        .wrap_err_with(|| format!("cannot get the status of {at}"))
}

async fn get(at: SocketAddr) -> eyre::Result<Value> {
    let stream = TcpStream::connect(at).await?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get("/status")
        .header("host", at.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    ensure!(status == StatusCode::OK, "the answer has status {status}");
    let body = Limited::new(answer.into_body(), REPORT_LIMIT);
    let body = body.collect().await.map_err(|error| eyre!(error))?;
    connection.abort();
    serde_json::from_slice(&body.to_bytes()).wrap_err("the answer is not JSON")
}

/// Returns a report as text.
///
/// The form follows the structure only, so that a report with more fields needs no change here:
/// values are lines, objects are indented, and lists of objects are tables.
#[must_use]
pub fn render(report: &Value) -> String {
    let mut text = String::new();
    match report {
        Value::Object(fields) => render_fields(&mut text, fields, 0),
        other => {
            let _ = writeln!(text, "{}", table::scalar(other));
        }
    }
    text
}

fn render_fields(text: &mut String, fields: &Map<String, Value>, indent: usize) {
    let is_plain = |value: &&Value| !matches!(value, Value::Object(_) | Value::Array(_));
    let plain = fields.iter().filter(|(_, value)| is_plain(value));
    let width = plain.clone().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, value) in plain {
        let value = table::scalar(value);
        let _ = writeln!(text, "{:indent$}{name:width$}  {value}", "");
    }
    for (name, value) in fields.iter().filter(|(_, value)| !is_plain(value)) {
        let _ = writeln!(text, "{:indent$}{name}", "");
        match value {
            Value::Object(fields) => render_fields(text, fields, indent + 2),
            Value::Array(rows) => table::render(text, rows, indent + 2),
            _ => {}
        }
    }
}
