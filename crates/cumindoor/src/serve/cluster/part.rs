//! The peer call that carries the messages of membership and of the distribution of documents.

use coord::config::Message;
use coord::member::Packet;
use coord::name::VmName;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::serve::peer::{Handler, Part};

/// Messages for one VM. The reply to a call has the same form and carries the answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClusterCall {
    /// The messages of membership.
    pub members: Vec<Packet>,
    /// The messages of the distribution of documents.
    pub config: Vec<Message>,
}

/// The maximum size of the messages in one call, unless a single message is larger. Even with the
/// largest document, of 1 MB, a call stays below the transport's limit.
const MAX_CALL_BYTES: usize = 512 * 1_024;

/// The size that is assumed for each message of membership. The largest has about 3 KB.
const PACKET_BYTES: usize = 4_096;

impl ClusterCall {
    /// Splits the messages into calls within the transport's size limit and keeps their order.
    pub(super) fn split(self) -> Vec<Self> {
        let mut calls = vec![Self::default()];
        let mut bytes = 0;
        let mut reserve = |size: usize, calls: &mut Vec<Self>| {
            if bytes > 0 && bytes + size > MAX_CALL_BYTES {
                calls.push(Self::default());
                bytes = 0;
            }
            bytes += size;
        };
        for packet in self.members {
            reserve(PACKET_BYTES, &mut calls);
            calls
                .last_mut()
                .expect("there is always a call")
                .members
                .push(packet);
        }
        for message in self.config {
            reserve(message.size(), &mut calls);
            calls
                .last_mut()
                .expect("there is always a call")
                .config
                .push(message);
        }
        calls
    }
}

/// The peer protocol of the cluster task.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPart;

impl Part for ClusterPart {
    const NAME: &'static str = "cluster";
    type Call = ClusterCall;
    type Reply = ClusterCall;
}

/// A call from a peer that waits to be handled by the task.
#[derive(Debug)]
pub(super) struct IncomingCall {
    pub(super) from: VmName,
    pub(super) call: ClusterCall,
    pub(super) reply: oneshot::Sender<ClusterCall>,
}

/// The handler that queues calls for the task and waits for its replies.
pub(super) struct Inbox(pub(super) mpsc::Sender<IncomingCall>);

impl Handler<ClusterPart> for Inbox {
    fn handle(&self, from: VmName, call: ClusterCall) -> BoxFuture<'_, ClusterCall> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            // If the inbox is full or the task restarts, the reply is empty, and the caller sees a
            // lost message.
            let _ = self.0.try_send(IncomingCall { from, call, reply });
            answer.await.unwrap_or_default()
        })
    }
}

#[cfg(test)]
mod tests;
