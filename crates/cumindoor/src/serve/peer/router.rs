//! Dispatch of incoming calls to the parts that registered for them.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use coord::name::VmName;
use futures::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::wire::{CallResult, Envelope};

/// A part of the system that VMs call on one another: its name and its message types.
///
/// The message types are the serialised form; keep them separate from domain types.
pub trait Part: Send + Sync + 'static {
    /// The name on the wire. It never changes, because VMs of two versions run side by side.
    const NAME: &'static str;
    /// The call.
    type Call: Serialize + DeserializeOwned + Send + 'static;
    /// The reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// Answers the calls of one part.
pub trait Handler<P: Part>: Send + Sync + 'static {
    /// Answers one call. `from` is the caller's own claim; it is not authenticated.
    fn handle(&self, from: VmName, call: P::Call) -> BoxFuture<'_, P::Reply>;
}

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

/// The handlers of one VM. Clones share nothing mutable: register before listening.
#[derive(Clone, Default)]
pub struct Router {
    parts: BTreeMap<&'static str, Arc<dyn Dispatch>>,
}

impl Router {
    /// Returns a router without handlers, which refuses every call but keep-alive calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the handler of a part. A second handler of the same part replaces the first.
    #[must_use]
    pub fn with<P: Part>(mut self, handler: Arc<dyn Handler<P>>) -> Self {
        self.parts
            .insert(P::NAME, Arc::new(TypedHandler::<P>(handler)));
        self
    }

    /// Answers one call from the wire.
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
