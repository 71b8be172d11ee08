//! The client of the platform's configuration service, which has the documents and the list of VMs
//! and upstreams (`docs/design.md`, section 4).
//!
//! Changes are watched by long polling: a read waits at the service until something changes. Each
//! read has a timeout. A connection on which a read failed or timed out is closed, because it may
//! never respond again.

mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coord::config::ReadResponse;
use coord::name::{DataCentre, Service, Upstream, VmName};
use eyre::WrapErr;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// The maximum size of a response. It is enough for 42,000 documents of 1.5 KB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The timeout of each step of a read: to connect, to receive the head of the response after the
/// waiting time, and to receive each further part of it. A stalled connection is thus detected as
/// fast in a large response as in a small one.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a complete read beyond its waiting time. The first response can have tens of
/// megabytes.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether the platform is about to remove a VM or an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It is not about to be removed.
    Live,
    /// It is about to be removed and gets no new work.
    Leaving,
}

/// The kind of work that an upstream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRole {
    /// An engine that runs prefill only.
    Prefill,
    /// An engine that runs decode only.
    Decode,
    /// An engine that runs prefill and decode.
    Both,
    /// An instance of a plain service.
    Plain,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: VmName,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The address of its peer port.
    pub peer: SocketAddr,
    /// Whether it is about to be removed.
    pub presence: LifecycleState,
}

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The name of the upstream.
    pub name: Upstream,
    /// The service that it runs.
    pub service: Service,
    /// The kind of work that it does.
    pub role: UpstreamRole,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Whether it is about to be removed.
    pub presence: LifecycleState,
}

/// The platform's list of VMs and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The revision of the list. A stale replica of the service may return an older one than
    /// before.
    pub revision: u64,
    /// All VMs, including those about to be removed.
    pub vms: Vec<ListedVm>,
    /// All upstreams, including those about to be removed.
    pub upstreams: Vec<ListedUpstream>,
}

/// A client that uses one connection for documents and one for the list.
#[derive(Debug)]
pub struct Registry {
    addrs: Vec<SocketAddr>,
    documents: Mutex<Connection>,
    list: Mutex<Connection>,
}

/// A connection that is kept between reads, and the choice of its address.
#[derive(Debug, Default)]
struct Connection {
    open: Option<SendRequest<Empty<Bytes>>>,
    /// The number of failed reads. Each failure selects the next address.
    failures: usize,
}

impl Registry {
    /// Returns a client of the service at `addr`. It connects at the first read.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_addresses(vec![addr])
    }

    /// Returns a client of several replicas of the service. Each failed read moves to the next
    /// address.
    #[must_use]
    pub fn with_addresses(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            documents: Mutex::default(),
            list: Mutex::default(),
        }
    }

    /// Reads the documents that changed after the revision `since`. The service waits up to `wait`
    /// for a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot be reached or is too slow, or if its response is not
    /// a success or is malformed.
    pub async fn documents(&self, since: u64, wait: Duration) -> eyre::Result<ReadResponse> {
        let path = format!("/v1/documents?since={since}&wait_ms={}", wait.as_millis());
        let answer: wire::Documents = self.read(&self.documents, &path, wait).await?;
        Ok(answer.into_response(since))
    }

    /// Reads the list of VMs and upstreams. The service waits up to `wait` for a revision above
    /// `since`.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`documents`](Self::documents).
    pub async fn listing(&self, since: u64, wait: Duration) -> eyre::Result<Listing> {
        let path = format!("/v1/vms?since={since}&wait_ms={}", wait.as_millis());
        let answer: wire::Listing = self.read(&self.list, &path, wait).await?;
        Ok(answer.into())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        connection: &Mutex<Connection>,
        path: &str,
        wait: Duration,
    ) -> eyre::Result<T> {
        let mut connection = connection.lock().await;
        eyre::ensure!(
            !self.addrs.is_empty(),
            "no address of the platform's configuration service is set"
        );
        let addr = self.addrs[connection.failures % self.addrs.len()];
        // The connection is taken out, so that it is closed if the read fails or this future is
        // dropped.
        let open = connection.open.take();
        let response = timeout(wait + READ_TIMEOUT, exchange(addr, open, path, wait));
        let context = || format!("cannot read {path} from the platform at {addr}");
        let answer = response.await.map_err(Into::into).flatten();
        let read = answer.and_then(|(sender, body)| Ok((sender, serde_json::from_slice(&body)?)));
        match read {
            Ok((sender, answer)) => {
                connection.open = Some(sender);
                Ok(answer)
            }
            Err(error) => {
                connection.failures += 1;
                Err(error).wrap_err_with(context)
            }
        }
    }
}

async fn exchange(
    addr: SocketAddr,
    open: Option<SendRequest<Empty<Bytes>>>,
    path: &str,
    wait: Duration,
) -> eyre::Result<(SendRequest<Empty<Bytes>>, Bytes)> {
    let mut sender = match open {
        Some(sender) if !sender.is_closed() => sender,
        _ => timeout(STALL_TIMEOUT, connect(addr)).await??,
    };
    timeout(STALL_TIMEOUT, sender.ready()).await??;
    let request = Request::get(path)
        .header(HOST, addr.to_string())
        .body(Empty::new())?;
    let response = timeout(wait + STALL_TIMEOUT, sender.send_request(request)).await??;
    let status = response.status();
    let body = collect(response.into_body()).await?;
    eyre::ensure!(
        status.is_success(),
        "expected a success status, got {status}"
    );
    Ok((sender, body))
}

async fn connect(addr: SocketAddr) -> eyre::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(addr).await?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // The spawned task ends when the sender is dropped or the connection closes.
    tokio::spawn(connection);
    Ok(sender)
}

/// Reads a whole body. Fails if the body exceeds [`MAX_RESPONSE_BYTES`] or the time between two
/// parts exceeds [`STALL_TIMEOUT`].
async fn collect(body: Incoming) -> eyre::Result<Bytes> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(STALL_TIMEOUT, body.frame()).await? {
        let frame = frame.map_err(|error| eyre::eyre!(error))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Ok(bytes.freeze())
}
