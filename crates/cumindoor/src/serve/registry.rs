//! Client of the configuration service, with its list of VMs and upstreams
//! (`docs/design.md`, section 4).
//!
//! A read that waits at the service is a watch. Each read has a time limit; a connection whose
//! read failed or ran out of time is not used again, because it may be silent for ever.

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

/// The largest answer in bytes: 42,000 documents of 1.5 KB.
const MAX_ANSWER: usize = 64 << 20;

/// The time beyond the waiting time within which an answer must begin, and between two parts of it.
/// A silent connection is thus noticed as fast in a large answer as in a small one.
const GRACE: Duration = Duration::from_millis(500);

/// The time beyond the waiting time within which an answer must be complete: a first answer has
/// tens of megabytes.
const COMPLETE: Duration = Duration::from_secs(30);

/// Whether the platform is about to remove a VM or an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It stays.
    Live,
    /// It gets no new work.
    Leaving,
}

/// What an upstream can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRole {
    /// An engine for prefill.
    Prefill,
    /// An engine for decode.
    Decode,
    /// An engine for both.
    Both,
    /// A plain service.
    Plain,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub name: VmName,
    /// Its data centre.
    pub zone: DataCentre,
    /// The address of its peer port.
    pub peer: SocketAddr,
    /// Whether it stays.
    pub presence: Presence,
}

/// One upstream of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The upstream.
    pub name: Upstream,
    /// The service that it runs.
    pub service: Service,
    /// What it can do.
    pub role: UpstreamRole,
    /// Its data centre.
    pub zone: DataCentre,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it stays.
    pub presence: Presence,
}

/// The list of VMs and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The list's revision; a stale replica may answer an older one.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
    /// The upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// A client with one connection for documents and one for the list.
#[derive(Debug)]
pub struct Registry {
    addrs: Vec<SocketAddr>,
    documents: Mutex<Lane>,
    list: Mutex<Lane>,
}

/// One connection and the address that it leads to.
#[derive(Debug, Default)]
struct Lane {
    open: Option<SendRequest<Empty<Bytes>>>,
    /// Counts the failed reads: each one moves on to the next address.
    failures: usize,
}

impl Registry {
    /// Returns a client that connects with the first read.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_addresses(vec![addr])
    }

    /// As [`new`](Self::new), with several addresses; after a failed read the next one is asked.
    #[must_use]
    pub fn with_addresses(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            documents: Mutex::default(),
            list: Mutex::default(),
        }
    }

    /// Reads the documents that changed after `since`; waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot be reached, is too slow or answers something else.
    pub async fn documents(&self, since: u64, wait: Duration) -> eyre::Result<ReadResponse> {
        let path = format!("/v1/documents?since={since}&wait_ms={}", wait.as_millis());
        let answer: wire::Documents = self.read(&self.documents, &path, wait).await?;
        Ok(answer.into_answer(since))
    }

    /// Reads the list of VMs and upstreams; waits up to `wait` for a revision above `since`.
    ///
    /// # Errors
    ///
    /// As [`documents`](Self::documents).
    pub async fn listing(&self, since: u64, wait: Duration) -> eyre::Result<Listing> {
        let path = format!("/v1/vms?since={since}&wait_ms={}", wait.as_millis());
        let answer: wire::Listing = self.read(&self.list, &path, wait).await?;
        Ok(answer.into())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        lane: &Mutex<Lane>,
        path: &str,
        wait: Duration,
    ) -> eyre::Result<T> {
        let mut lane = lane.lock().await;
        eyre::ensure!(!self.addrs.is_empty(), "the platform has no address");
        let addr = self.addrs[lane.failures % self.addrs.len()];
        // Taken out, so that a failure or the end of this future drops the connection.
        let open = lane.open.take();
        let reading = timeout(wait + COMPLETE, exchange(addr, open, path, wait));
        let place = || format!("cannot read {path} from the platform at {addr}");
        let answer = reading.await.map_err(Into::into).flatten();
        let read = answer.and_then(|(sender, body)| Ok((sender, serde_json::from_slice(&body)?)));
        match read {
            Ok((sender, answer)) => {
                lane.open = Some(sender);
                Ok(answer)
            }
            Err(error) => {
                lane.failures += 1;
                Err(error).wrap_err_with(place)
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
        _ => timeout(GRACE, connect(addr)).await??,
    };
    timeout(GRACE, sender.ready()).await??;
    let request = Request::get(path)
        .header(HOST, addr.to_string())
        .body(Empty::new())?;
    let response = timeout(wait + GRACE, sender.send_request(request)).await??;
    let status = response.status();
    let body = collect(response.into_body()).await?;
    eyre::ensure!(status.is_success(), "the answer has status {status}");
    Ok((sender, body))
}

async fn connect(addr: SocketAddr) -> eyre::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(addr).await?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // The task ends when the sender is dropped or the connection closes.
    tokio::spawn(connection);
    Ok(sender)
}

/// Reads a body whose parts follow one another without long silence.
async fn collect(body: Incoming) -> eyre::Result<Bytes> {
    let mut body = Limited::new(body, MAX_ANSWER);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(GRACE, body.frame()).await? {
        let frame = frame.map_err(|error| eyre::eyre!(error))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Ok(bytes.freeze())
}
