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
