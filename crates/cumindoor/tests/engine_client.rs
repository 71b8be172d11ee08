//! The client of model engines against engines that answer at awkward moments.

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

async fn answer(stream: &mut TcpStream, body: &str) {
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

/// Guards against a finished answer that is thrown away, because the engine was asked whether
/// it lists the request in the moment in which the request ended.
#[tokio::test]
async fn an_answer_that_ends_while_it_is_asked_about_counts() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let engine = tokio::spawn(async move {
        let mut work = accept(&listener).await;
        let mut question = accept(&listener).await;
        answer(&mut question, r#"{"held":[]}"#).await;
        // Longer than the client needs to read the list.
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer(&mut work, r#"{"handle":"kv-1","prompt_tokens":2}"#).await;
        (work, question)
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
