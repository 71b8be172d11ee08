//! The wire format of an answer on `GET /attach/{key}`: length-delimited frames in `MessagePack`.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::recording::Piece;
use crate::serve::refusal::{Kind, Refusal};
use crate::serve::route::Usage;

/// One frame as it is written to the connection.
#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// A keep-alive: the holder is running, but has no new piece.
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

/// Encodes a piece, or a keep-alive frame for `None`.
pub(super) fn encode(piece: Option<Piece>) -> Bytes {
    // Serialising to memory cannot fail, and no piece reaches the codec's maximum frame length.
    let body = rmp_serde::to_vec(&to_frame(piece)).unwrap_or_default();
    let mut bytes = BytesMut::new();
    let _ = LengthDelimitedCodec::new().encode(Bytes::from(body), &mut bytes);
    bytes.freeze()
}

/// The result of decoding the start of a buffer.
pub(super) enum Decoded {
    /// The buffer does not hold a complete frame yet.
    Incomplete,
    /// A keep-alive frame.
    KeepAlive,
    /// A frame with a piece of the answer.
    Piece(Piece),
}

/// Decodes the next frame and removes it from `buffer`.
pub(super) fn decode(buffer: &mut BytesMut) -> eyre::Result<Decoded> {
    let Some(body) = LengthDelimitedCodec::new().decode(buffer)? else {
        return Ok(Decoded::Incomplete);
    };
    let piece = from_frame(rmp_serde::from_slice(&body)?)?;
    Ok(piece.map_or(Decoded::KeepAlive, Decoded::Piece))
}

fn to_frame(piece: Option<Piece>) -> Frame {
    match piece {
        None => Frame::Alive,
        Some(Piece::Head(status, headers)) => Frame::Head {
            status: status.as_u16(),
            headers: headers.iter().map(encode_header).collect(),
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

fn encode_header((name, value): (&HeaderName, &HeaderValue)) -> (String, Bytes) {
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
