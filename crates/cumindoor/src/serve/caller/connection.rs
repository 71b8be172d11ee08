//! One connection of a caller.

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

use super::io::GuardedIo;
use super::{Shared, handler};
use crate::serve::refusal::Refusal;
use crate::serve::spec::Limits;

/// After what time a caller that found no free connection may try again.
const CONNECTION_RETRY: Duration = Duration::from_secs(1);

/// Serves the requests of one connection.
pub(super) async fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let limits = shared.context.options.limits.clone();
    // Without it, small writes wait for the acknowledgement of the ones before them.
    let _ = stream.set_nodelay(true);
    let Some(permit) = permit else {
        let refusal = Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "connections",
            "too many open connections",
        );
        refuse_raw(stream, refusal.retry_in(CONNECTION_RETRY), &limits).await;
        return;
    };
    let stream = exchange(&shared, stream, &limits).await;
    if let Some(stream) = stream {
        linger(stream, &limits).await;
    }
    drop(permit);
}

/// Serves requests until the connection ends; returns the socket if it is still open.
async fn exchange(shared: &Arc<Shared>, stream: TcpStream, limits: &Limits) -> Option<TcpStream> {
    let io = TokioIo::new(GuardedIo::new(stream, limits.write_stall));
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
    if error.is_timeout() && io.unanswered() {
        let refusal = Refusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "header-timeout",
            "the request head did not end in time",
        );
        let mut stream = io.into_stream();
        let _ = timeout(limits.linger_timeout, write_raw(&mut stream, &refusal)).await;
        return Some(stream);
    }
    Some(io.into_stream())
}

async fn refuse_raw(mut stream: TcpStream, refusal: Refusal, limits: &Limits) {
    let written = timeout(limits.linger_timeout, write_raw(&mut stream, &refusal)).await;
    if let Ok(Ok(())) = written {
        linger(stream, limits).await;
    }
}

async fn write_raw(stream: &mut TcpStream, refusal: &Refusal) -> std::io::Result<()> {
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

/// Reads what the caller still sends, so that closing does not destroy the last answer.
///
/// A socket that is closed with unread bytes resets the connection, and the caller may lose an
/// answer that it has not read yet.
async fn linger(mut stream: TcpStream, limits: &Limits) {
    let drained = async {
        stream.shutdown().await?;
        let mut buffer = vec![0; 16 * 1024];
        let mut rest = limits.linger_bytes;
        while rest > 0 {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                break;
            }
            rest = rest.saturating_sub(count);
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(limits.linger_timeout, drained).await;
}
