//! The pool of connections to upstreams that write heads which are none.

use std::net::SocketAddr;
use std::time::Duration;

use cumindoor::serve::engine::{Pool, SendError, full_body};
use hyper::Request;
use hyper::body::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts an upstream that writes these bytes as the answer to each request, and keeps its connections.
async fn upstream(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut head = [0; 4096];
                while stream.read(&mut head).await.is_ok_and(|read| read > 0) {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Returns what becomes of a request over a pooled connection, and over a new one as `serve` sends its plain calls.
async fn outcomes(answer: String) -> [Result<u16, SendError>; 2] {
    let addr = upstream(answer).await;
    let pool = Pool::new(Duration::from_secs(1));
    let request = || Request::new(full_body(Bytes::new()));
    let pooled = pool.send(addr, request()).await;
    let fresh = pool.connect(addr).await.unwrap().send(request()).await;
    [pooled, fresh].map(|sent| sent.map(|answered| answered.response.status().as_u16()))
}

/// Guards against a caller that gets a status which no answer has, or bytes of another protocol.
#[rstest]
#[case::other_protocol(101, "Connection: upgrade\r\nUpgrade: other\r\n")]
#[case::unasked(101, "Content-Length: 0\r\n")]
#[case::beyond(600, "Content-Length: 0\r\n")]
#[case::far_beyond(999, "Content-Length: 0\r\n")]
#[case::coded(200, "Transfer-Encoding: gzip, chunked\r\n")]
#[case::coded_apart(200, "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")]
#[tokio::test]
async fn a_head_that_is_none_is_no_response(#[case] status: u16, #[case] lines: &str) {
    let answer = format!("HTTP/1.1 {status} x\r\n{lines}\r\n");

    for outcome in outcomes(answer).await {
        assert!(matches!(outcome, Err(SendError::Sent(_))), "{outcome:?}");
    }
}

/// Guards against sound heads that are rejected with the others.
#[rstest]
#[case::first(200, "Content-Length: 0\r\n")]
#[case::last(599, "Content-Length: 0\r\n")]
#[case::chunks(200, "Transfer-Encoding: chunked\r\n")]
#[case::capitals(200, "Transfer-Encoding: CHUNKED\r\n")]
#[case::until_close(200, "")]
#[tokio::test]
async fn a_sound_head_is_a_response(#[case] status: u16, #[case] lines: &str) {
    let answer = format!("HTTP/1.1 {status} x\r\n{lines}\r\n");

    for outcome in outcomes(answer).await {
        assert_eq!(outcome, Ok(status));
    }
}
