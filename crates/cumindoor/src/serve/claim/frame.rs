//! The serialised form of an answer on `GET /attach/{key}`: `MessagePack` with a length before
//! each frame.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::recording::Piece;
use crate::serve::refusal::{Kind, Refusal};
use crate::serve::route::Usage;

#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// The holder lives, but there is no new piece.
    Alive,
    Head {
        status: u16,
        headers: Vec<(String, Bytes)>,
    },
    Data(Bytes),
    End,
    Tokens(Vec<String>),
    Finish {
        reason: String,
        prompt_tokens: u32,
        output_tokens: u32,
    },
    Fail {
        status: u16,
        not_run: bool,
        reason: String,
        message: String,
        retry_ms: Option<u64>,
    },
}

/// Returns the bytes of a piece, or of the sign of life that `None` stands for.
pub(super) fn encode(piece: Option<Piece>) -> Bytes {
    // Serialising to memory cannot fail, and no piece reaches the largest length.
    let body = rmp_serde::to_vec(&to_frame(piece)).unwrap_or_default();
    let mut bytes = BytesMut::new();
    let _ = LengthDelimitedCodec::new().encode(Bytes::from(body), &mut bytes);
    bytes.freeze()
}

/// What the start of a buffer holds.
pub(super) enum Next {
    /// Not a whole frame yet.
    Incomplete,
    /// A sign of life.
    Alive,
    /// A piece.
    Piece(Piece),
}

/// Takes the next frame out of `buffer`.
pub(super) fn decode(buffer: &mut BytesMut) -> eyre::Result<Next> {
    let Some(body) = LengthDelimitedCodec::new().decode(buffer)? else {
        return Ok(Next::Incomplete);
    };
    let piece = from_frame(rmp_serde::from_slice(&body)?)?;
    Ok(piece.map_or(Next::Alive, Next::Piece))
}

fn to_frame(piece: Option<Piece>) -> Frame {
    match piece {
        None => Frame::Alive,
        Some(Piece::Head(status, headers)) => Frame::Head {
            status: status.as_u16(),
            headers: headers.iter().map(pair).collect(),
        },
        Some(Piece::Data(data)) => Frame::Data(data),
        Some(Piece::End) => Frame::End,
        Some(Piece::Tokens(tokens)) => Frame::Tokens(tokens),
        Some(Piece::Finish(usage)) => Frame::Finish {
            reason: usage.reason,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.output_tokens,
        },
        Some(Piece::Fail(refusal)) => Frame::Fail {
            status: refusal.status.as_u16(),
            not_run: refusal.kind == Kind::NotRun,
            reason: refusal.reason.into_owned(),
            message: refusal.message,
            retry_ms: refusal
                .retry_after
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        },
    }
}

fn pair((name, value): (&HeaderName, &HeaderValue)) -> (String, Bytes) {
    (name.to_string(), Bytes::copy_from_slice(value.as_bytes()))
}

fn from_frame(frame: Frame) -> eyre::Result<Option<Piece>> {
    Ok(Some(match frame {
        Frame::Alive => return Ok(None),
        Frame::Head { status, headers } => {
            let mut map = HeaderMap::new();
            for (name, value) in headers {
                map.append(
                    HeaderName::try_from(name)?,
                    HeaderValue::from_bytes(&value)?,
                );
            }
            Piece::Head(StatusCode::from_u16(status)?, map)
        }
        Frame::Data(data) => Piece::Data(data),
        Frame::End => Piece::End,
        Frame::Tokens(tokens) => Piece::Tokens(tokens),
        Frame::Finish {
            reason,
            prompt_tokens,
            output_tokens,
        } => Piece::Finish(Usage {
            reason,
            prompt_tokens,
            output_tokens,
        }),
        Frame::Fail {
            status,
            not_run,
            reason,
            message,
            retry_ms,
        } => Piece::Fail(Refusal {
            status: StatusCode::from_u16(status)?,
            kind: if not_run { Kind::NotRun } else { Kind::Unknown },
            reason: reason.into(),
            message,
            retry_after: retry_ms.map(Duration::from_millis),
        }),
    }))
}
