//! Messages between VMs: comparison, repair and push.

use std::sync::Arc;

use rand::RngExt;

use super::ConfigReplica;
use super::types::{
    Action, BUCKETS, Document, HeldRevisions, MAX_BATCH_BYTES, MAX_PUSH_BYTES, MAX_PUSH_DOCUMENTS,
    Message,
};
use crate::name::VmName;
use crate::time::Time;

/// A comparison under way with one peer that has other digests.
#[derive(Debug)]
pub(super) struct Pull {
    peer: VmName,
    /// The number of the last question. Only its answer counts: a late answer to an older one
    /// would hide what the peer has learnt since.
    id: u64,
    /// The buckets still to ask for; the last one is being asked.
    left: Vec<u8>,
    /// The cursor to adopt at the end.
    cursor: u64,
    asked: Time,
}

impl ConfigReplica {
    /// Compares with a random peer.
    pub(super) fn compare(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.response_timeout;
        if self
            .pull
            .as_ref()
            .is_some_and(|pull| now.since(pull.asked) > limit)
        {
            self.pull = None;
        }
        if now < self.next_compare {
            return;
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_compare = now + self.options.compare_interval.mul_f64(jitter);
        if let Some(peer) = self.sample(1).pop() {
            out.push(self.root(&peer, false));
        }
    }

    pub(super) fn root(&self, to: &VmName, reply: bool) -> Action {
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

    pub(super) fn handle(
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
                self.boot.heard(from, ready, cursor, &self.options);
                self.compared(from, root == self.store.root(), cursor, reply, out);
            }
            Message::Buckets {
                buckets,
                cursor,
                ready,
            } => {
                self.boot.heard(from, ready, cursor, &self.options);
                self.start_pull(now, from, &buckets, cursor, out);
            }
            Message::BucketRequest { id, bucket, held } => {
                let (documents, more, want) = self.store.newer_documents(now, bucket, &held);
                let cursor = self.cursor;
                let message = Message::BucketResponse {
                    id,
                    documents,
                    more,
                    requested: want,
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
                requested: want,
                cursor,
            } => {
                self.offer(now, &documents, out);
                self.supply(now, from, &want, out);
                self.continue_pull(now, from, id, more, cursor, out);
            }
            Message::Push { documents } => self.offer(now, &documents, out),
            Message::Announce { held } => self.ask(now, from, &held, out),
            Message::DocumentRequest { names } => self.supply(now, from, &names, out),
        }
    }

    fn compared(
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
        // The same documents: what one VM knows to be complete is complete on the other.
        self.cursor = self.cursor.max(cursor);
        self.boot.matched(from);
        if !reply {
            out.push(self.root(from, true));
        }
    }

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
        let left = pairs
            .filter(|((own, other), _)| own != other)
            .map(|(_, bucket)| bucket);
        let left = left.collect();
        self.pull = Some(Pull {
            peer: from.clone(),
            id: 0,
            left,
            cursor,
            asked: now,
        });
        self.ask_bucket(now, out);
    }

    /// Asks for the next bucket, or ends the pull.
    fn ask_bucket(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(pull) = &mut self.pull else { return };
        let Some(bucket) = pull.left.last().copied() else {
            self.cursor = self.cursor.max(pull.cursor);
            self.boot.matched(&pull.peer);
            self.pull = None;
            return;
        };
        pull.id = self.rng.random();
        pull.asked = now;
        let message = Message::BucketRequest {
            id: pull.id,
            bucket,
            held: self.store.bucket(bucket),
        };
        out.push(Action::Send {
            to: pull.peer.clone(),
            message,
        });
    }

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
        if pull.id != id || pull.peer != *from {
            return;
        }
        // The peer may have restarted with empty memory since it sent its digests.
        pull.cursor = pull.cursor.min(cursor);
        if !more {
            pull.left.pop();
        }
        self.ask_bucket(now, out);
    }

    /// Sends documents that a peer wants.
    fn supply(&self, now: Time, to: &VmName, names: &[Arc<str>], out: &mut Vec<Action>) {
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

    /// Asks for announced documents, each from one peer at a time.
    fn ask(&mut self, now: Time, from: &VmName, held: &[HeldRevisions], out: &mut Vec<Action>) {
        let mut names = Vec::new();
        for theirs in held {
            let ours = self.store.held_revisions(&theirs.name);
            let asked = self.wanted.get(&theirs.name);
            let waiting = asked.is_some_and(|at| now.since(*at) < self.options.response_timeout);
            if waiting || ours.is_some_and(|ours| ours.latest >= theirs.latest) {
                continue;
            }
            self.wanted.insert(Arc::clone(&theirs.name), now);
            names.push(Arc::clone(&theirs.name));
        }
        if !names.is_empty() {
            out.push(Action::Send {
                to: from.clone(),
                message: Message::DocumentRequest { names },
            });
        }
    }

    /// Sends what was accepted during this call to a few random peers: small texts at once, large
    /// ones as an announcement.
    pub(super) fn push(&mut self, now: Time, out: &mut Vec<Action>) {
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.is_empty() || fresh.len() > MAX_PUSH_DOCUMENTS {
            return;
        }
        let all = fresh
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
        for place in 0..count {
            let other = self.rng.random_range(place..self.peers.len());
            self.peers.swap(place, other);
        }
        self.peers[..count].to_vec()
    }
}

/// Splits documents into messages of at most [`MAX_BATCH_BYTES`], or one document.
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
