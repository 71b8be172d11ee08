//! `GET /attach/{key}`: streams the answer of a running or ended request to another VM.

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
use super::frame::{self, Decoded};
use super::recording::Piece;
use crate::serve::engine::{Pool, PooledResponse, full_body};
use crate::serve::peer::Body;
use crate::serve::refusal::Refusal;

/// The prefix of the path, before the key.
pub const ATTACH_PATH: &str = "/attach/";
/// The timeout for the head of the holder's response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The time without a piece after which the holder sends a keep-alive frame.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The time without data after which the holder is considered lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The capacity of the channels between a connection and the store or the caller.
const QUEUE_FRAMES: usize = 64;

/// Handles `GET /attach/{key}?{tag}`. Responds with the kept answer, with status 404 if there is
/// none, with 409 if the key belongs to a request with different contents, or with 400 if the URI
/// is malformed.
#[must_use]
pub fn answer(answers: &AnswerStore, uri: &Uri) -> Response<Body> {
    let Some((key, tag)) = parse_uri(uri) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match answers.find(key, tag) {
        Lookup::NotFound => empty_response(StatusCode::NOT_FOUND),
        Lookup::Mismatch => empty_response(StatusCode::CONFLICT),
        Lookup::Answer(pieces) => {
            let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
            answers.tasks().spawn(relay(pieces, sender));
            let frames = stream::unfold(receiver, |mut receiver| async move {
                let bytes = receiver.recv().await?;
                Some((Ok(Frame::data(bytes)), receiver))
            });
            Response::new(BodyExt::boxed(StreamBody::new(frames)))
        }
    }
}

fn parse_uri(uri: &Uri) -> Option<(KeyHash, u64)> {
    let key = uri.path().strip_prefix(ATTACH_PATH)?;
    let key = u128::from_str_radix(key, 16).ok()?.to_be_bytes();
    let half = |from: usize| u64::from_be_bytes(std::array::from_fn(|i| key[from + i]));
    let tag = u64::from_str_radix(uri.query()?, 16).ok()?;
    Some((KeyHash(half(0), half(8)), tag))
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let body = Empty::new().map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

async fn relay(mut pieces: mpsc::Receiver<Piece>, sender: mpsc::Sender<Bytes>) {
    loop {
        let piece = match timeout(KEEP_ALIVE_INTERVAL, pieces.recv()).await {
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

/// The reason why no answer can be read from the holder.
pub(in crate::serve) enum AttachError {
    /// The holder did not respond in time or the connection failed.
    Unreachable,
    /// The holder keeps no answer for the key.
    NotFound,
    /// The key belongs to a request with different contents.
    Mismatch,
}

/// Requests an answer from the VM that holds it, and returns a receiver of its pieces.
pub(in crate::serve) async fn fetch_answer(
    answers: &AnswerStore,
    pool: &Pool,
    addr: SocketAddr,
    key_and_tag: (KeyHash, u64),
) -> Result<mpsc::Receiver<Piece>, AttachError> {
    let (key, tag) = key_and_tag;
    let request = Request::get(format!("{ATTACH_PATH}{key}?{tag:x}")).body(full_body(Bytes::new()));
    let request = request.map_err(|_| AttachError::NotFound)?;
    let answered = timeout(HEAD_TIMEOUT, pool.send_fresh(addr, request)).await;
    let connected = answered.map_err(|_| AttachError::Unreachable)?;
    let connected = connected.map_err(|_| AttachError::Unreachable)?;
    match connected.response.status() {
        StatusCode::OK => {}
        StatusCode::CONFLICT => return Err(AttachError::Mismatch),
        _ => return Err(AttachError::NotFound),
    }
    let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
    answers.tasks().spawn(read_answer(connected, sender));
    Ok(receiver)
}

async fn read_answer(connected: PooledResponse, sender: mpsc::Sender<Piece>) {
    let PooledResponse { response, lease } = connected;
    let reading = forward_pieces(response.into_body(), &sender);
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

/// Forwards the pieces of `body`. Returns false if it ended or failed before the last piece.
async fn forward_pieces(mut body: Incoming, sender: &mpsc::Sender<Piece>) -> bool {
    let mut buffer = BytesMut::new();
    loop {
        let Ok(Some(Ok(data))) = timeout(SILENCE_TIMEOUT, body.frame()).await else {
            return false;
        };
        buffer.extend_from_slice(&data.into_data().unwrap_or_default());
        loop {
            match frame::decode(&mut buffer) {
                Err(_) => return false,
                Ok(Decoded::Incomplete) => break,
                Ok(Decoded::KeepAlive) => {}
                Ok(Decoded::Piece(piece)) => {
                    let last = piece.is_last();
                    if sender.send(piece).await.is_err() || last {
                        return true;
                    }
                }
            }
        }
    }
}
