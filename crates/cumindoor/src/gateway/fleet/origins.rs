//! What the gateways tell and ask each other of the origins of streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, VmName};
use coord::origin::{
    BuildKey, ContentKey, MAX_BATCH, OriginMessage, OriginRecord, Step, StreamKey, keepers,
};
use coord::owner::Owners;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::gateway::context::{Context, State};

/// Longest time for which the first event of a stream waits until other gateways were told of its origin.
/// The datagrams usually leave at once.
const TELL_TIME: Duration = Duration::from_millis(20);

/// A stream that this gateway relays, and whose origin it tells again from time to time. Dropping it ends
/// that; the origin stays known.
pub struct RunningStream {
    ctx: Arc<Context>,
    streams: Vec<StreamKey>,
    content: ContentKey,
}

impl RunningStream {
    /// Makes the origin unknown, because it is not certain which build wrote the events.
    pub async fn dispute(&self) {
        let (keepers, records) = {
            let now = self.ctx.now();
            let mut state = self.ctx.state();
            let records: Vec<OriginRecord> = self
                .streams
                .iter()
                .filter_map(|stream| state.origins.dispute(now, *stream))
                .collect();
            (keepers(&others(&state), self.content), records)
        };
        send(&self.ctx, &keepers, &OriginMessage::Told(records)).await;
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut state = self.ctx.state();
        for stream in &self.streams {
            state.origins.end(*stream);
        }
    }
}

/// Records the origin of a stream, under each of its keys, and tells other gateways.
pub async fn begin(
    ctx: &Arc<Context>,
    (streams, content): (&[StreamKey], ContentKey),
    build: BuildKey,
    retention: Duration,
) -> RunningStream {
    let (keepers, message) = {
        let now = ctx.now();
        let mut state = ctx.state();
        let keepers = keepers(&others(&state), content);
        let origins = &mut state.origins;
        let begun = streams.iter();
        let begun = begun.map(|stream| origins.begin(now, (*stream, content), build, retention));
        (keepers, OriginMessage::Told(begun.collect()))
    };
    let running = RunningStream {
        ctx: Arc::clone(ctx),
        streams: streams.to_vec(),
        content,
    };
    let telling = async {
        send(ctx, &keepers, &message).await;
    };
    if timeout(TELL_TIME, telling).await.is_err() {
        ctx.telemetry.count("origin.untold");
    }
    running
}

/// Returns the build at which a stream began, or `None` if no gateway that can be reached knows it, or if those
/// that know it do not agree on a stream that its caller does not name.
pub async fn find(
    ctx: &Arc<Context>,
    (stream, content): (StreamKey, ContentKey),
    is_named: bool,
) -> Option<BuildKey> {
    let lookup = OngoingLookup::begin(ctx, (stream, content), is_named);
    loop {
        let heard = lookup.heard.notified();
        let mut heard = std::pin::pin!(heard);
        heard.as_mut().enable();
        let now = ctx.now();
        let step = {
            let mut state = ctx.state();
            let others = others(&state);
            let expects_others = ctx.expects_peers();
            state
                .origins
                .next_step(now, lookup.stream, &others, expects_others)
        };
        let until = match step {
            Step::Known(build) => return Some(build),
            Step::Unknown => return None,
            Step::Ask {
                round,
                targets,
                until,
            } => {
                let streams = vec![stream];
                let question = OriginMessage::Asked { round, streams };
                send(ctx, &targets, &question).await;
                until
            }
            Step::Wait { until } => until,
        };
        tokio::select! {
            () = heard => {}
            () = sleep(until.since(ctx.now())) => {}
        }
    }
}

/// A lookup that ends when it is dropped, also if the caller leaves.
struct OngoingLookup<'a> {
    ctx: &'a Context,
    stream: StreamKey,
    /// Notified when an answer about the stream has arrived.
    heard: Arc<Notify>,
}

impl<'a> OngoingLookup<'a> {
    fn begin(ctx: &'a Context, key: (StreamKey, ContentKey), is_named: bool) -> Self {
        let now = ctx.now();
        let mut state = ctx.state();
        if is_named {
            state.origins.begin_lookup(now, key);
        } else {
            state.origins.begin_unnamed_lookup(now, key);
        }
        let heard = Arc::clone(state.origin_waiters.entry(key.0).or_default());
        drop(state);
        Self {
            ctx,
            stream: key.0,
            heard,
        }
    }
}

impl Drop for OngoingLookup<'_> {
    fn drop(&mut self) {
        let mut state = self.ctx.state();
        state.origins.end_lookup(self.stream);
        // The other reference is that of the table.
        if Arc::strong_count(&self.heard) <= 2 {
            state.origin_waiters.remove(&self.stream);
        }
    }
}

/// Handles a message of another gateway, and returns the answer to it.
pub fn receive(ctx: &Context, from: SocketAddr, message: OriginMessage) -> Option<OriginMessage> {
    let now = ctx.now();
    let mut state = ctx.state();
    if let OriginMessage::Answered { known, unknown, .. } = &message {
        let answered = known.iter().map(|record| &record.stream).chain(unknown);
        for waiter in answered.filter_map(|stream| state.origin_waiters.get(stream)) {
            waiter.notify_waiters();
        }
    }
    // The waiters look again only when the state is no longer locked.
    state.origins.receive(now, &name(from), message)
}

/// Tells the origins of the streams that this gateway relays again.
pub async fn retell(ctx: &Context) {
    let told = {
        let now = ctx.now();
        let state = ctx.state();
        state.origins.retold(now, &others(&state))
    };
    for (keeper, records) in told {
        for batch in records.chunks(MAX_BATCH) {
            let message = OriginMessage::Told(batch.to_vec());
            send(ctx, std::slice::from_ref(&keeper), &message).await;
        }
    }
}

async fn send(ctx: &Context, to: &[VmName], message: &OriginMessage) {
    let Some(socket) = ctx.peer_socket.get() else {
        return;
    };
    // The names were made of addresses.
    let targets = to.iter().filter_map(|vm| vm.as_str().parse().ok());
    let targets: Vec<SocketAddr> = targets.collect();
    socket.send(message, &targets).await;
}

/// Returns the gateways that keep origins for this one, and answer it. Digests do not name data centres, so all count as one.
fn others(state: &State) -> Owners {
    let fleet = DataCentre::from("fleet");
    let others = state.loads.others().into_iter();
    others.map(|addr| (name(addr), fleet.clone())).collect()
}

fn name(gateway: SocketAddr) -> VmName {
    gateway.to_string().into()
}
