//! The engine client against engines whose responses race with its probes.

use std::net::SocketAddr;
use std::time::Duration;

use cumindoor::serve::UpstreamTimeouts;
use cumindoor::serve::engine::{EngineClient, PrefillCall};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Accepts a connection and reads the head of its request.
async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = [0; 4096];
    let read = stream.read(&mut head).await.unwrap();
    assert!(read > 0);
    stream
}

async fn respond(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await.unwrap();
}

fn call() -> PrefillCall {
    PrefillCall {
        id: "1-1".to_owned(),
        prompt: "A prompt".to_owned(),
        priority: 0,
    }
}

/// Guards against a response that is discarded because its request ended during a probe, so that
/// the probe no longer listed it.
#[tokio::test]
async fn a_response_that_arrives_after_a_probe_without_its_request_counts() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let engine = tokio::spawn(async move {
        let mut prefill = accept(&listener).await;
        let mut probe = accept(&listener).await;
        respond(&mut probe, r#"{"held":[]}"#).await;
        // Longer than the client needs to read the response to the probe.
        tokio::time::sleep(Duration::from_millis(20)).await;
        respond(&mut prefill, r#"{"handle":"kv-1","prompt_tokens":2}"#).await;
        (prefill, probe)
    });
    let client = EngineClient::new(UpstreamTimeouts {
        probe_after: Duration::from_millis(50),
        ..UpstreamTimeouts::default()
    });

    let limit = Duration::from_mins(1);
    let done = client.prefill((addr, None), &call(), None, limit).await;

    assert_eq!(done.map(|done| done.handle), Ok("kv-1".to_owned()));
    engine.await.unwrap();
}
