//! The serialised form of calls between VMs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::MessagePack;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::io::{AsyncRead, AsyncWrite};

/// The largest frame in bytes: a document of 1 MB plus its envelope.
///
/// A longer length prefix closes the connection before any memory is reserved for it.
pub const MAX_FRAME_BYTES: usize = 1_200_000;

/// One call of a part, already encoded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the VM that calls.
    pub from: String,
    /// [`Part::NAME`](super::Part::NAME); empty for a keep-alive call.
    pub part: String,
    /// The caller's span, as the parent of the span on this side; 0 if there is none.
    pub span: u64,
    /// The call in `MessagePack`.
    pub body: Bytes,
}

/// One reply of a part, or the reason for refusing the call.
pub type CallResult = Result<Bytes, String>;

/// The only tarpc service between VMs; parts are told apart by [`Envelope::part`].
#[tarpc::service]
pub trait Wire {
    /// Runs one call of a part.
    async fn call(envelope: Envelope) -> CallResult;
}

/// Returns the tarpc transport over an upgraded connection.
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
