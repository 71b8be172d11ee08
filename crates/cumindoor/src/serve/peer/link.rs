//! The client side of one connection to a peer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::header::{CONNECTION, HOST, UPGRADE as UPGRADE_HEADER};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::wire::{CallResult, Envelope, WireClient, transport};
use super::{KEEP_ALIVE_INTERVAL, KEEP_ALIVE_TIMEOUT, PeerError, UPGRADE_PROTOCOL};

/// A connection that carries calls until it is closed or becomes unresponsive.
pub(super) struct Link {
    client: WireClient,
    closed: CancellationToken,
    last_reply: Mutex<Instant>,
    keep_alive_lock: tokio::sync::Mutex<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

impl Link {
    /// Connects to `to` and upgrades the HTTP connection to the peer protocol.
    pub(super) async fn open(to: SocketAddr) -> eyre::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (mut sender, http) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let http = tokio::spawn(http.with_upgrades());
        let request = Request::builder()
            .method(Method::POST)
            .uri("/peer")
            .header(HOST, to.to_string())
            .header(CONNECTION, "upgrade")
            .header(UPGRADE_HEADER, UPGRADE_PROTOCOL)
            .body(Empty::<Bytes>::new())?;
        let mut response = sender.send_request(request).await?;
        if response.status() != StatusCode::SWITCHING_PROTOCOLS {
            http.abort();
            eyre::bail!(
                "expected status 101 to the upgrade request, got {}",
                response.status()
            );
        }
        let io = hyper::upgrade::on(&mut response).await?;
        Ok(Self::start(TokioIo::new(io)))
    }

    fn start(io: TokioIo<hyper::upgrade::Upgraded>) -> Self {
        let client = WireClient::new(Config::default(), transport(io));
        let closed = CancellationToken::new();
        let token = closed.clone();
        tokio::spawn(async move {
            let _ended = token.run_until_cancelled(client.dispatch).await;
            token.cancel();
        });
        Self {
            client: client.client,
            closed,
            last_reply: Mutex::new(Instant::now()),
            keep_alive_lock: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns `true` once the connection can no longer carry calls.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Sends one call and waits for its answer, its deadline or the loss of the connection.
    pub(super) async fn call(
        &self,
        context: Context,
        envelope: Envelope,
    ) -> Result<CallResult, PeerError> {
        let limit = tokio::time::Instant::from_std(context.deadline);
        tokio::select! {
            biased;
            answer = self.client.call(context, envelope) => self.call_result(answer),
            () = self.closed.cancelled() => Err(PeerError::Closed),
            () = tokio::time::sleep_until(limit) => Err(PeerError::Deadline),
            () = self.wait_until_unresponsive() => Err(PeerError::Closed),
        }
    }

    /// Converts the result of a tarpc call, and records when a reply arrived.
    fn call_result(&self, answer: Result<CallResult, RpcError>) -> Result<CallResult, PeerError> {
        match answer {
            Ok(answer) => {
                self.record_reply();
                Ok(answer)
            }
            Err(RpcError::DeadlineExceeded) => Err(PeerError::Deadline),
            Err(RpcError::Server(error)) => Err(PeerError::Refused(error.to_string())),
            Err(RpcError::Send(error)) => Err(PeerError::Encode(error.to_string())),
            Err(RpcError::Shutdown | RpcError::Channel(_)) => Err(PeerError::Closed),
        }
    }

    fn record_reply(&self) {
        *self
            .last_reply
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Instant::now();
    }

    fn since_last_reply(&self) -> Duration {
        self.last_reply
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .elapsed()
    }

    /// Sends keep-alive calls while no reply arrives. Closes the connection and returns when such a
    /// call is not answered in time.
    async fn wait_until_unresponsive(&self) {
        loop {
            tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
            // Concurrent calls on the connection share one keep-alive call.
            let _guard = self.keep_alive_lock.lock().await;
            if self.since_last_reply() < KEEP_ALIVE_INTERVAL {
                continue;
            }
            if !self.keep_alive().await {
                self.closed.cancel();
                return;
            }
        }
    }

    /// Sends a keep-alive call and returns `true` if it was answered in time.
    async fn keep_alive(&self) -> bool {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + KEEP_ALIVE_TIMEOUT;
        let envelope = Envelope {
            from: String::new(),
            part: String::new(),
            span: 0,
            body: Bytes::new(),
        };
        let call = self.client.call(context, envelope);
        let answer = tokio::time::timeout(KEEP_ALIVE_TIMEOUT, call).await;
        let replied = matches!(answer, Ok(Ok(_)));
        if replied {
            self.record_reply();
        }
        replied
    }
}
