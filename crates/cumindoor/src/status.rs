//! Fetches the status report of a VM from its peer port and renders it as text.

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

/// Maximum size of a status report.
const MAX_REPORT_BYTES: usize = 16 << 20;

/// Fetches the status report of the VM whose peer port is `addr`.
///
/// # Errors
///
/// Returns an error if the VM does not answer within `timeout`, or if its answer is not a JSON
/// document with status 200.
pub async fn fetch(addr: SocketAddr, timeout: Duration) -> eyre::Result<Value> {
    let fetched = tokio::time::timeout(timeout, request_status(addr)).await;
    fetched
        .map_err(|_| eyre!("no answer within {timeout:?}"))
        .and_then(|answer| answer)
        .wrap_err_with(|| format!("cannot get the status of {addr}"))
}

async fn request_status(addr: SocketAddr) -> eyre::Result<Value> {
    let stream = TcpStream::connect(addr).await?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get("/status")
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    ensure!(status == StatusCode::OK, "the answer has status {status}");
    let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.map_err(|error| eyre!(error))?;
    connection.abort();
    serde_json::from_slice(&body.to_bytes()).wrap_err("the answer is not JSON")
}

/// Renders a status report as text.
///
/// The layout depends only on the structure of the JSON document, so that new fields need no change
/// here: scalar values are lines, objects are indented, and lists of objects are tables.
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
    let is_scalar = |value: &&Value| !matches!(value, Value::Object(_) | Value::Array(_));
    let scalars = fields.iter().filter(|(_, value)| is_scalar(value));
    let width = scalars
        .clone()
        .map(|(name, _)| name.len())
        .max()
        .unwrap_or(0);
    for (name, value) in scalars {
        let value = table::scalar(value);
        let _ = writeln!(text, "{:indent$}{name:width$}  {value}", "");
    }
    for (name, value) in fields.iter().filter(|(_, value)| !is_scalar(value)) {
        let _ = writeln!(text, "{:indent$}{name}", "");
        match value {
            Value::Object(fields) => render_fields(text, fields, indent + 2),
            Value::Array(rows) => table::render(text, rows, indent + 2),
            _ => {}
        }
    }
}
