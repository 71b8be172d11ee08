//! The call between VMs that carries messages of membership and distribution.

use coord::config::Message;
use coord::member::Packet;
use coord::name::VmName;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::serve::peer::{Handler, Part};

/// Messages for one VM; the reply carries the answers to them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClusterCall {
    /// Messages of membership.
    pub members: Vec<Packet>,
    /// Messages of the distribution of documents.
    pub config: Vec<Message>,
}

/// The most bytes of messages put together in one call, unless a single message is larger. With the
/// largest document, of 1 MB, a call stays below the transport's limit.
const MAX_CALL: usize = 512 * 1_024;

/// The size in bytes at which a message of membership is counted; the largest has about 3 KB.
const PACKET: usize = 4_096;

impl ClusterCall {
    /// Splits the messages into calls that the transport can carry, in their order.
    pub(super) fn split(self) -> Vec<Self> {
        let mut calls = vec![Self::default()];
        let mut bytes = 0;
        let mut room = |size: usize, calls: &mut Vec<Self>| {
            if bytes > 0 && bytes + size > MAX_CALL {
                calls.push(Self::default());
                bytes = 0;
            }
            bytes += size;
        };
        for packet in self.members {
            room(PACKET, &mut calls);
            calls
                .last_mut()
                .expect("there is always a call")
                .members
                .push(packet);
        }
        for message in self.config {
            room(message.size(), &mut calls);
            calls
                .last_mut()
                .expect("there is always a call")
                .config
                .push(message);
        }
        calls
    }
}

/// The part of the cluster task.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPart;

impl Part for ClusterPart {
    const NAME: &'static str = "cluster";
    type Call = ClusterCall;
    type Reply = ClusterCall;
}

/// A call that waits for the task.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) from: VmName,
    pub(super) call: ClusterCall,
    pub(super) reply: oneshot::Sender<ClusterCall>,
}

pub(super) struct Inbox(pub(super) mpsc::Sender<Incoming>);

impl Handler<ClusterPart> for Inbox {
    fn handle(&self, from: VmName, call: ClusterCall) -> BoxFuture<'_, ClusterCall> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            // A full inbox and a restarted task look like a lost message.
            let _ = self.0.try_send(Incoming { from, call, reply });
            answer.await.unwrap_or_default()
        })
    }
}

#[cfg(test)]
mod tests;
