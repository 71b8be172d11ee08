//! The wire format of calls between VMs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::MessagePack;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::io::{AsyncRead, AsyncWrite};

/// The maximum length of a frame, which is enough for a document of 1 MB with its envelope.
///
/// A longer length prefix closes the connection before memory is allocated for the frame.
pub const MAX_FRAME_BYTES: usize = 1_200_000;

/// An encoded call with the name of the part that handles it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the VM that calls.
    pub from: String,
    /// [`Part::NAME`](super::Part::NAME); empty for a keep-alive call.
    pub part: String,
    /// The id of the caller's trace span, which becomes the parent span on the called VM; 0 if
    /// there is none.
    pub span: u64,
    /// The call, encoded as `MessagePack`.
    pub body: Bytes,
}

/// The encoded reply to a call, or the reason why the call was refused.
pub type CallResult = Result<Bytes, String>;

/// The only tarpc service between VMs. [`Envelope::part`] selects the handler.
#[tarpc::service]
pub trait Wire {
    /// Runs the call in `envelope`.
    async fn call(envelope: Envelope) -> CallResult;
}

/// Returns the tarpc transport over an upgraded connection, with length-prefixed frames.
pub fn transport<S, I, O>(io: S) -> Transport<S, I, O, MessagePack<I, O>>
where
    S: AsyncRead + AsyncWrite,
    I: for<'a> Deserialize<'a>,
    O: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    tarpc::serde_transport::new(Framed::new(io, codec), MessagePack::default())
}
