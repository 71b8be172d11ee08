//! Dispatch of incoming calls to the registered handlers.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use coord::name::VmName;
use futures::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::wire::{CallResult, Envelope};

/// A component that peers can call: its name on the wire and its message types.
///
/// The message types define the serialised form. They should be separate from domain types.
pub trait Part: Send + Sync + 'static {
    /// The name on the wire. It must never change, because VMs with different versions of the
    /// program call one another.
    const NAME: &'static str;
    /// The type of a call.
    type Call: Serialize + DeserializeOwned + Send + 'static;
    /// The type of a reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// Handles the calls of one part.
pub trait Handler<P: Part>: Send + Sync + 'static {
    /// Handles one call. The calling VM states its name in `from`, which is not authenticated.
    fn handle(&self, from: VmName, call: P::Call) -> BoxFuture<'_, P::Reply>;
}

/// A type-erased [`Handler`], which decodes the call and encodes the reply.
trait Dispatch: Send + Sync {
    fn dispatch(&self, from: VmName, body: Bytes) -> BoxFuture<'_, CallResult>;
}

struct TypedHandler<P: Part>(Arc<dyn Handler<P>>);

impl<P: Part> Dispatch for TypedHandler<P> {
    fn dispatch(&self, from: VmName, body: Bytes) -> BoxFuture<'_, CallResult> {
        Box::pin(async move {
            let call = rmp_serde::from_slice(&body).map_err(|e| format!("{}: {e}", P::NAME))?;
            let reply = self.0.handle(from, call).await;
            let body = rmp_serde::to_vec(&reply).map_err(|e| format!("{}: {e}", P::NAME))?;
            Ok(Bytes::from(body))
        })
    }
}

/// The handlers of one VM.
///
/// Handlers that are registered with one clone are not visible to other clones, so all must be
/// registered before the listener starts.
#[derive(Clone, Default)]
pub struct Router {
    parts: BTreeMap<&'static str, Arc<dyn Dispatch>>,
}

impl Router {
    /// Returns a router without handlers, which refuses all calls except keep-alive calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the handler of a part and replaces any earlier handler of the same part.
    #[must_use]
    pub fn with<P: Part>(mut self, handler: Arc<dyn Handler<P>>) -> Self {
        self.parts
            .insert(P::NAME, Arc::new(TypedHandler::<P>(handler)));
        self
    }

    /// Runs the handler for one call; answers keep-alive calls itself.
    pub(super) async fn dispatch(&self, envelope: Envelope) -> CallResult {
        if envelope.part.is_empty() {
            return Ok(Bytes::new());
        }
        let Some(part) = self.parts.get(envelope.part.as_str()) else {
            return Err(format!("this VM has no part {:?}", envelope.part));
        };
        part.dispatch(VmName::from(envelope.from), envelope.body)
            .await
    }
}
