//! Conversion between responses and the pieces in which they are recorded.

use std::future::Future;

use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::serve::claim::Piece;
use crate::serve::engine::{BodyError, BoxedBody};
use crate::serve::refusal::Refusal;

/// Runs a call and sends its response as pieces.
///
/// The call is cancelled when the receiver is dropped.
pub(super) async fn record_call(
    call: impl Future<Output = Result<Response<BoxedBody>, Refusal>>,
    sender: mpsc::Sender<Piece>,
) {
    let work = async {
        let last = match call.await {
            Ok(response) => send_pieces(response, &sender).await,
            Err(refusal) => Piece::Fail(refusal),
        };
        let _ = sender.send(last).await;
    };
    tokio::select! {
        () = work => {}
        () = sender.closed() => {}
    }
}

/// Sends all pieces of a response but the last one, which it returns.
async fn send_pieces(response: Response<BoxedBody>, sender: &mpsc::Sender<Piece>) -> Piece {
    let (parts, mut body) = response.into_parts();
    let _ = sender.send(Piece::Head(parts.status, parts.headers)).await;
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => drop(sender.send(Piece::Data(data)).await),
            // Trailers are not recorded.
            Ok(Err(_)) => {}
            Err(error) => {
                let text = format!("the answer broke off: {error}");
                return Piece::Fail(Refusal::unknown("upstream-failed", text));
            }
        }
    }
    Piece::End
}

/// Builds a response from its pieces; `guards` are dropped together with its body.
pub(super) async fn respond(
    mut pieces: mpsc::Receiver<Piece>,
    guards: impl Send + 'static,
) -> Result<Response<BoxedBody>, Refusal> {
    let (status, headers) = match pieces.recv().await {
        Some(Piece::Head(status, headers)) => (status, headers),
        Some(Piece::Fail(refusal)) => return Err(refusal),
        _ => {
            let text = "the request ended without an answer";
            return Err(Refusal::unknown("internal", text));
        }
    };
    let state = (Some(pieces), guards);
    let frames = stream::unfold(state, |(pieces, guards)| async move {
        let mut pieces = pieces?;
        let frame: Result<_, BodyError> = match pieces.recv().await {
            Some(Piece::Data(data)) => Ok(Frame::data(data)),
            Some(Piece::End) => return None,
            Some(Piece::Fail(refusal)) => Err(refusal.message.into()),
            _ => Err("the answer broke off".into()),
        };
        let rest = frame.is_ok().then_some(pieces);
        Some((frame, (rest, guards)))
    });
    let mut response = Response::new(StreamBody::new(Box::pin(frames)).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}
