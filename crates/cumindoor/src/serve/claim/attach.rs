//! `GET /attach/{key}`: relays a running or finished answer to another VM.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coord::claim::KeyHash;
use futures::stream;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode, Uri};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::answers::{AnswerStore, Lookup};
use super::frame::{self, Next};
use super::recording::Piece;
use crate::serve::engine::{Connected, Pool, full_body};
use crate::serve::peer::Body;
use crate::serve::refusal::Refusal;

/// The start of the path.
pub const ATTACH_PATH: &str = "/attach/";
/// Time within which the holder must start to answer.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// The silence after which the holder shows that it lives.
const ALIVE: Duration = Duration::from_secs(1);
/// The silence after which the holder counts as lost.
const SILENCE: Duration = Duration::from_secs(5);
/// Frames on their way.
const QUEUE: usize = 64;

/// Answers `GET /attach/{key}?{tag}`.
#[must_use]
pub fn answer(answers: &AnswerStore, uri: &Uri) -> Response<Body> {
    let Some((key, tag)) = parse(uri) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    match answers.find(key, tag) {
        Lookup::NotFound => empty(StatusCode::NOT_FOUND),
        Lookup::Mismatch => empty(StatusCode::CONFLICT),
        Lookup::Answer(pieces) => {
            let (sender, receiver) = mpsc::channel(QUEUE);
            answers.runs().spawn(relay(pieces, sender));
            let frames = stream::unfold(receiver, |mut receiver| async move {
                let bytes = receiver.recv().await?;
                Some((Ok(Frame::data(bytes)), receiver))
            });
            Response::new(BodyExt::boxed(StreamBody::new(frames)))
        }
    }
}

fn parse(uri: &Uri) -> Option<(KeyHash, u64)> {
    let key = uri.path().strip_prefix(ATTACH_PATH)?;
    let key = u128::from_str_radix(key, 16).ok()?.to_be_bytes();
    let half = |from: usize| u64::from_be_bytes(std::array::from_fn(|i| key[from + i]));
    let tag = u64::from_str_radix(uri.query()?, 16).ok()?;
    Some((KeyHash(half(0), half(8)), tag))
}

fn empty(status: StatusCode) -> Response<Body> {
    let body = Empty::new().map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

async fn relay(mut pieces: mpsc::Receiver<Piece>, sender: mpsc::Sender<Bytes>) {
    loop {
        let piece = match timeout(ALIVE, pieces.recv()).await {
            Ok(None) => return,
            Ok(Some(piece)) => Some(piece),
            Err(_) => None,
        };
        let last = piece.as_ref().is_some_and(Piece::is_last);
        if sender.send(frame::encode(piece)).await.is_err() || last {
            return;
        }
    }
}

/// Why there is no answer to attach to.
pub(in crate::serve) enum AttachError {
    /// The holder cannot be reached.
    Unreachable,
    /// The holder keeps no answer for the key.
    NotFound,
    /// The key belongs to a request with different contents.
    Mismatch,
}

/// Reads the answer of a request that another VM holds.
pub(in crate::serve) async fn fetch_answer(
    answers: &AnswerStore,
    pool: &Pool,
    addr: SocketAddr,
    question: (KeyHash, u64),
) -> Result<mpsc::Receiver<Piece>, AttachError> {
    let (key, tag) = question;
    let request = Request::get(format!("{ATTACH_PATH}{key}?{tag:x}")).body(full_body(Bytes::new()));
    let request = request.map_err(|_| AttachError::NotFound)?;
    let answered = timeout(HEAD_LIMIT, pool.send_fresh(addr, request)).await;
    let connected = answered.map_err(|_| AttachError::Unreachable)?;
    let connected = connected.map_err(|_| AttachError::Unreachable)?;
    match connected.response.status() {
        StatusCode::OK => {}
        StatusCode::CONFLICT => return Err(AttachError::Mismatch),
        _ => return Err(AttachError::NotFound),
    }
    let (sender, receiver) = mpsc::channel(QUEUE);
    answers.runs().spawn(read(connected, sender));
    Ok(receiver)
}

async fn read(connected: Connected, sender: mpsc::Sender<Piece>) {
    let Connected { response, lease } = connected;
    let reading = pieces(response.into_body(), &sender);
    let complete = tokio::select! {
        complete = reading => complete,
        () = sender.closed() => return,
    };
    drop(lease);
    if !complete {
        let text = "the VM that runs the request cannot be reached";
        let lost = Refusal::unknown("holder-lost", text);
        let _ = sender.send(Piece::Fail(lost)).await;
    }
}

/// Passes pieces on; returns true after the last one.
async fn pieces(mut body: Incoming, sender: &mpsc::Sender<Piece>) -> bool {
    let mut buffer = BytesMut::new();
    loop {
        let Ok(Some(Ok(data))) = timeout(SILENCE, body.frame()).await else {
            return false;
        };
        buffer.extend_from_slice(&data.into_data().unwrap_or_default());
        loop {
            match frame::decode(&mut buffer) {
                Err(_) => return false,
                Ok(Next::Incomplete) => break,
                Ok(Next::Alive) => {}
                Ok(Next::Piece(piece)) => {
                    let last = piece.is_last();
                    if sender.send(piece).await.is_err() || last {
                        return true;
                    }
                }
            }
        }
    }
}
