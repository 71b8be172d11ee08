//! Messages between VMs: comparison of digests, transfer of documents that differ, and push.

use std::sync::Arc;

use rand::RngExt;

use super::ConfigReplica;
use super::types::{
    Action, BUCKETS, Document, HeldRevisions, MAX_BATCH_BYTES, MAX_PUSH_BYTES, MAX_PUSH_DOCUMENTS,
    Message,
};
use crate::name::VmName;
use crate::time::Time;

/// A transfer in progress from one peer whose digests differ.
#[derive(Debug)]
pub(super) struct Pull {
    peer: VmName,
    /// The number of the last request. Answers to earlier requests are ignored, because they lack
    /// the documents that the peer has received since.
    request_id: u64,
    /// The buckets that have not been transferred; the last one has been requested.
    remaining: Vec<u8>,
    /// The cursor that this VM adopts at the end of the transfer.
    cursor: u64,
    requested_at: Time,
}

impl ConfigReplica {
    /// Starts a comparison with a random peer at intervals, and abandons a transfer that timed out.
    pub(super) fn start_comparison(&mut self, now: Time, out: &mut Vec<Action>) {
        let timeout = self.options.response_timeout;
        if self
            .pull
            .as_ref()
            .is_some_and(|pull| now.since(pull.requested_at) > timeout)
        {
            self.pull = None;
        }
        if now < self.next_compare {
            return;
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_compare = now + self.options.compare_interval.mul_f64(jitter);
        if let Some(peer) = self.sample(1).pop() {
            out.push(self.root_message(&peer, false));
        }
    }

    /// Returns the message that starts or answers a comparison.
    pub(super) fn root_message(&self, to: &VmName, reply: bool) -> Action {
        let root = self.store.root();
        let message = Message::Root {
            root,
            cursor: self.cursor,
            ready: self.boot.ready,
            reply,
        };
        Action::Send {
            to: to.clone(),
            message,
        }
    }

    pub(super) fn handle_message(
        &mut self,
        now: Time,
        from: &VmName,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Root {
                root,
                cursor,
                ready,
                reply,
            } => {
                self.boot
                    .record_response(from, ready, cursor, &self.options);
                self.handle_root(from, root == self.store.root(), cursor, reply, out);
            }
            Message::Buckets {
                buckets,
                cursor,
                ready,
            } => {
                self.boot
                    .record_response(from, ready, cursor, &self.options);
                self.start_pull(now, from, &buckets, cursor, out);
            }
            Message::BucketRequest { id, bucket, held } => {
                let (documents, more, requested) = self.store.newer_documents(now, bucket, &held);
                let cursor = self.cursor;
                let message = Message::BucketResponse {
                    id,
                    documents,
                    more,
                    requested,
                    cursor,
                };
                out.push(Action::Send {
                    to: from.clone(),
                    message,
                });
            }
            Message::BucketResponse {
                id,
                documents,
                more,
                requested,
                cursor,
            } => {
                self.offer_documents(now, &documents, out);
                self.send_documents(now, from, &requested, out);
                self.continue_pull(now, from, id, more, cursor, out);
            }
            Message::Push { documents } => self.offer_documents(now, &documents, out),
            Message::Announce { held } => self.request_announced(now, from, &held, out),
            Message::DocumentRequest { names } => self.send_documents(now, from, &names, out),
        }
    }

    /// Handles a peer's digest. If it differs, this VM sends the digests of its buckets. Otherwise,
    /// it adopts the cursor of the peer if that is higher.
    fn handle_root(
        &mut self,
        from: &VmName,
        same: bool,
        cursor: u64,
        reply: bool,
        out: &mut Vec<Action>,
    ) {
        if !same {
            let buckets = self.store.digest().to_vec();
            let (cursor, ready) = (self.cursor, self.boot.ready);
            let message = Message::Buckets {
                buckets,
                cursor,
                ready,
            };
            out.push(Action::Send {
                to: from.clone(),
                message,
            });
            return;
        }
        // Both VMs hold the same documents, so they are complete up to the higher of the two
        // cursors.
        self.cursor = self.cursor.max(cursor);
        self.boot.record_match(from);
        if !reply {
            out.push(self.root_message(from, true));
        }
    }

    /// Starts a transfer of the buckets that differ, unless one is in progress.
    fn start_pull(
        &mut self,
        now: Time,
        from: &VmName,
        buckets: &[u64],
        cursor: u64,
        out: &mut Vec<Action>,
    ) {
        if self.pull.is_some() || buckets.len() != BUCKETS {
            return;
        }
        let pairs = self.store.digest().iter().zip(buckets).zip(0..);
        let remaining = pairs
            .filter(|((own, other), _)| own != other)
            .map(|(_, bucket)| bucket);
        let remaining = remaining.collect();
        self.pull = Some(Pull {
            peer: from.clone(),
            request_id: 0,
            remaining,
            cursor,
            requested_at: now,
        });
        self.request_bucket(now, out);
    }

    /// Requests the next bucket, or ends the transfer if none remains.
    fn request_bucket(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(pull) = &mut self.pull else { return };
        let Some(bucket) = pull.remaining.last().copied() else {
            self.cursor = self.cursor.max(pull.cursor);
            self.boot.record_match(&pull.peer);
            self.pull = None;
            return;
        };
        pull.request_id = self.rng.random();
        pull.requested_at = now;
        let message = Message::BucketRequest {
            id: pull.request_id,
            bucket,
            held: self.store.bucket(bucket),
        };
        out.push(Action::Send {
            to: pull.peer.clone(),
            message,
        });
    }

    /// Handles the answer to the current request of a transfer.
    fn continue_pull(
        &mut self,
        now: Time,
        from: &VmName,
        id: u64,
        more: bool,
        cursor: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(pull) = &mut self.pull else { return };
        if pull.request_id != id || pull.peer != *from {
            return;
        }
        // The peer may have restarted and lost its documents since it sent its digests.
        pull.cursor = pull.cursor.min(cursor);
        if !more {
            pull.remaining.pop();
        }
        self.request_bucket(now, out);
    }

    /// Sends documents that a peer requested.
    fn send_documents(&self, now: Time, to: &VmName, names: &[Arc<str>], out: &mut Vec<Action>) {
        let all = names
            .iter()
            .flat_map(|name| self.store.documents(now, name));
        for documents in batches(all) {
            out.push(Action::Send {
                to: to.clone(),
                message: Message::Push { documents },
            });
        }
    }

    /// Requests announced documents that are newer, each from one peer at a time.
    fn request_announced(
        &mut self,
        now: Time,
        from: &VmName,
        held: &[HeldRevisions],
        out: &mut Vec<Action>,
    ) {
        let mut names = Vec::new();
        for theirs in held {
            let ours = self.store.held_revisions(&theirs.name);
            let requested_at = self.requested.get(&theirs.name);
            let pending =
                requested_at.is_some_and(|at| now.since(*at) < self.options.response_timeout);
            if pending || ours.is_some_and(|ours| ours.latest >= theirs.latest) {
                continue;
            }
            self.requested.insert(Arc::clone(&theirs.name), now);
            names.push(Arc::clone(&theirs.name));
        }
        if !names.is_empty() {
            out.push(Action::Send {
                to: from.clone(),
                message: Message::DocumentRequest { names },
            });
        }
    }

    /// Pushes the documents accepted during this call to a few random peers. Small texts are sent
    /// directly, large ones are announced.
    pub(super) fn push_accepted(&mut self, now: Time, out: &mut Vec<Action>) {
        let unpushed = std::mem::take(&mut self.unpushed);
        if unpushed.is_empty() || unpushed.len() > MAX_PUSH_DOCUMENTS {
            return;
        }
        let all = unpushed
            .iter()
            .flat_map(|name| self.store.documents(now, name));
        let (small, large): (Vec<_>, Vec<_>) = all.partition(|d| d.size() <= MAX_PUSH_BYTES);
        let held: Vec<_> = large
            .iter()
            .filter_map(|d| self.store.held_revisions(&d.name))
            .collect();
        let fanout = (self.peers.len() + 1).ilog2() + 1;
        for peer in self.sample(fanout as usize) {
            for documents in batches(small.iter().cloned()) {
                out.push(Action::Send {
                    to: peer.clone(),
                    message: Message::Push { documents },
                });
            }
            if !held.is_empty() {
                let message = Message::Announce { held: held.clone() };
                out.push(Action::Send { to: peer, message });
            }
        }
    }

    fn sample(&mut self, n: usize) -> Vec<VmName> {
        let count = n.min(self.peers.len());
        for index in 0..count {
            let other = self.rng.random_range(index..self.peers.len());
            self.peers.swap(index, other);
        }
        self.peers[..count].to_vec()
    }
}

/// Splits documents into batches of at most [`MAX_BATCH_BYTES`]. A larger document has its own
/// batch.
fn batches(documents: impl Iterator<Item = Document>) -> Vec<Vec<Document>> {
    let mut batches: Vec<Vec<Document>> = Vec::new();
    let mut bytes = MAX_BATCH_BYTES;
    for document in documents {
        bytes += document.size();
        match batches.last_mut() {
            Some(batch) if bytes <= MAX_BATCH_BYTES => batch.push(document),
            _ => {
                bytes = document.size();
                batches.push(vec![document]);
            }
        }
    }
    batches
}
