//! Serves one connection of a caller.

use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::io::WriteTimeoutIo;
use super::{Shared, handler};
use crate::serve::refusal::Refusal;
use crate::serve::spec::Limits;

/// Retry delay given to a caller that is refused because of the connection limit.
const CONNECTION_RETRY: Duration = Duration::from_secs(1);

/// Serves the requests of one connection; without a `permit` the connection is refused.
pub(super) async fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let limits = shared.context.options.limits.clone();
    // Without TCP_NODELAY, a small write waits until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    let Some(permit) = permit else {
        let refusal = Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "connections",
            "too many open connections",
        );
        refuse_connection(stream, refusal.retry_in(CONNECTION_RETRY), &limits).await;
        return;
    };
    let stream = serve_requests(&shared, stream, &limits).await;
    if let Some(stream) = stream {
        linger(stream, &limits).await;
    }
    drop(permit);
}

/// Serves requests until the connection ends; returns the socket if it is still open.
async fn serve_requests(
    shared: &Arc<Shared>,
    stream: TcpStream,
    limits: &Limits,
) -> Option<TcpStream> {
    let io = TokioIo::new(WriteTimeoutIo::new(stream, limits.write_stall));
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        Box::pin(async move { Ok::<_, Infallible>(handler::handle(&shared, request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.headers)
        .max_header_size(limits.header_bytes)
        .serve_connection(io, service);
    let mut stopping = false;
    let result = loop {
        tokio::select! {
            result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break result,
            () = shared.stopping.cancelled(), if !stopping => {
                stopping = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let io = connection.into_parts().io.into_inner();
    let Err(error) = result else {
        return Some(io.into_stream());
    };
    if error.is_timeout() && io.has_unanswered_bytes() {
        let refusal = Refusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "header-timeout",
            "the request head did not end in time",
        );
        let mut stream = io.into_stream();
        let _ = timeout(limits.linger_timeout, write_refusal(&mut stream, &refusal)).await;
        return Some(stream);
    }
    Some(io.into_stream())
}

async fn refuse_connection(mut stream: TcpStream, refusal: Refusal, limits: &Limits) {
    let written = timeout(limits.linger_timeout, write_refusal(&mut stream, &refusal)).await;
    if let Ok(Ok(())) = written {
        linger(stream, limits).await;
    }
}

async fn write_refusal(stream: &mut TcpStream, refusal: &Refusal) -> std::io::Result<()> {
    let body = refusal.json();
    let retry = refusal.retry_after.map_or(String::new(), |after| {
        format!("retry-after: {}\r\n", after.as_secs().max(1))
    });
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{retry}connection: close\r\n\r\n",
        refusal.status,
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await
}

/// Shuts down the sending side and discards what the caller still sends, within the linger limits.
///
/// Closing a socket that has unread bytes resets the connection, and the caller may then lose a
/// response that it has not read yet.
async fn linger(mut stream: TcpStream, limits: &Limits) {
    let drained = async {
        stream.shutdown().await?;
        let mut buffer = vec![0; 16 * 1024];
        let mut remaining = limits.linger_bytes;
        while remaining > 0 {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                break;
            }
            remaining = remaining.saturating_sub(count);
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(limits.linger_timeout, drained).await;
}
