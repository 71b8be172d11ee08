//! Exchange of digests with the other gateways over UDP.
//!
//! Each datagram holds the complete load of the sender, so a lost one is made up for by the next. A
//! gateway starts with the addresses in its settings and learns the others from the digests that it
//! receives. A gateway without peers decides on its own load alone.
//!
//! In a large fleet only neighbours hear each other's load, so that the cost does not grow with the fleet;
//! see `docs/decisions/neighbours.md`.

mod reports;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coord::limit::{LimitReport, RetryBudget};
use coord::origin::OriginMessage;
use eyre::WrapErr;
use tokio::time::{Instant, sleep_until};

use crate::gateway::admission::classes;
use crate::gateway::admission::load_table::{CrashReport, Digest};
use crate::gateway::admission::rate_limits;
use crate::gateway::context::{Context, State};
use crate::gateway::crash_watch::{self, MemoryReport};
use crate::gateway::engines::links;
use crate::gateway::fleet::origins;
use crate::gateway::fleet::pacing::DIGEST_INTERVAL_PER_PEER;
use crate::gateway::fleet::peer_list::{Audience, PeerList};
use crate::gateway::fleet::peer_socket::PeerSocket;
use crate::gateway::fleet::wakeups::WakeupThrottle;
use crate::gateway::organisations::allowances;
use crate::gateway::store::store_calls::{self, StoreReport};

/// Time between two digests without a change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Largest datagram. The largest expected digest, with 500 loads, takes 8 KB.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Maximum number of leaving upstreams in a digest, which take 9 bytes each.
const MAX_DEPARTING: usize = 128;

/// The effect of a datagram.
#[derive(Default)]
struct Effect {
    /// Whether it changed the known load or waiting requests of other gateways.
    changed: bool,
    /// The sender, if it was not known before.
    newcomer: Option<SocketAddr>,
    /// The answer to a question about the origins of streams.
    answer: Option<OriginMessage>,
}

/// Sends and receives digests on a UDP socket.
pub struct PeerExchange {
    ctx: Arc<Context>,
    socket: Arc<PeerSocket>,
    /// Unix milliseconds of this process's start, sent in each digest.
    start: u64,
    /// Sequence number of the next digest.
    number: AtomicU64,
}

impl PeerExchange {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(ctx: &Arc<Context>) -> eyre::Result<Self> {
        let addr = ctx.own_address();
        let socket = PeerSocket::bind(addr, ctx.telemetry.clone()).await;
        let socket = socket.wrap_err_with(|| format!("cannot bind UDP address {addr}"))?;
        let socket = Arc::clone(ctx.peer_socket.get_or_init(|| Arc::new(socket)));
        Ok(Self {
            ctx: Arc::clone(ctx),
            socket,
            start: unix_millis(),
            number: AtomicU64::new(1),
        })
    }

    /// Exchanges digests for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never returns; a datagram that cannot be sent is treated as lost.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let mut peer_list = PeerList::new(self.ctx.own_address());
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_heartbeat = Instant::now();
        let mut earliest = Instant::now();
        let mut report_earliest = Instant::now();
        let mut pending = false;
        let mut newcomers = Vec::new();
        let mut wakeups = WakeupThrottle::default();
        loop {
            let due = if !pending {
                next_heartbeat
            } else if self.has_announcements() {
                report_earliest.min(next_heartbeat)
            } else {
                earliest.min(next_heartbeat)
            };
            let wake = wakeups.due();
            tokio::select! {
                received = self.socket.receive(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        let effect = self.receive(&mut peer_list, from, &buffer[..length]);
                        if effect.changed {
                            wakeups.request();
                        }
                        // Without news, a newcomer is told with the next digest what is known.
                        let is_large = self.ctx.state().loads.window().is_some();
                        pending |= effect.newcomer.is_some() && (is_large || self.has_reports());
                        newcomers.extend(effect.newcomer);
                        if let Some(answer) = effect.answer {
                            self.socket.send(&answer, &[from]).await;
                        }
                    }
                }
                () = sleep_until(wake.unwrap_or(next_heartbeat)), if wake.is_some() => {
                    wakeups.record(Instant::now());
                    self.ctx.capacity_freed.notify_waiters();
                }
                () = self.ctx.digest_due.notified() => pending = true,
                () = sleep_until(due) => {
                    self.update_seeds(&mut peer_list);
                    let heartbeat = due >= next_heartbeat;
                    let now = self.ctx.now();
                    let audience = peer_list.audience(now, heartbeat);
                    let complete = heartbeat || due >= earliest;
                    let mut newcomers = std::mem::take(&mut newcomers);
                    let unaware = newcomers.clone();
                    if complete {
                        self.send(&peer_list, &audience, heartbeat).await;
                        self.welcome(&peer_list, &audience, &newcomers).await;
                    }
                    if heartbeat {
                        newcomers.extend(peer_list.page_targets(self.ctx.now()));
                        origins::retell(&self.ctx).await;
                    }
                    pending = self.send_crashes(&audience.all, &newcomers).await;
                    self.send_memory(&unaware).await;
                    let refreshed = heartbeat.then_some(&audience);
                    pending |= self.send_limits(&audience.all, &newcomers, refreshed).await;
                    self.send_allowances(&audience.all, &newcomers, heartbeat).await;
                    pending |= !complete;
                    let gone = self.expire();
                    if heartbeat || gone {
                        self.record_fleet(&peer_list);
                    }
                    let now = Instant::now();
                    let peers = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
                    report_earliest = now + DIGEST_INTERVAL_PER_PEER * peers(audience.all.len());
                    if complete {
                        earliest = now + self.end_round(peers(audience.told().len()));
                    }
                    if heartbeat {
                        next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                    }
                }
            }
        }
    }

    fn update_seeds(&self, peer_list: &mut PeerList) {
        let settings = self.ctx.settings();
        let seeds = settings.fleet.seeds.iter().map(|seed| seed.0.ip());
        peer_list.set_seeds(self.ctx.now(), seeds);
    }

    /// Handles a datagram.
    fn receive(&self, peer_list: &mut PeerList, from: SocketAddr, bytes: &[u8]) -> Effect {
        let Ok(mut digest) = rmp_serde::from_slice::<Digest>(bytes) else {
            return self.receive_report(from, bytes);
        };
        let now = self.ctx.now();
        peer_list.record_digest(now, from, &digest);
        // One that has started anew has forgotten everything, even if it was away for a moment only.
        let known = self.ctx.state().loads.knows_start(from, digest.start);
        let leaving = digest.stopping;
        let unreachable = digest.unreachable.clone();
        let observed = std::mem::take(&mut digest.observed);
        let (changed, newly_lost) = {
            let mut state = self.ctx.state();
            for key in digest.departing.iter().take(MAX_DEPARTING) {
                state.directory.statements.record_reported(now, *key);
            }
            for (key, left) in &digest.switching {
                let until = now + Duration::from_millis((*left).into());
                state.directory.set_switching_by_key(*key, until);
            }
            let newly_lost = state.loads.newly_unreachable(from, &unreachable);
            let changed = state.loads.apply_digest(now, from, digest);
            if changed {
                state.directory.speeds.merge(now, &observed);
            }
            (changed, state.directory.services(&newly_lost))
        };
        // What cut the other gateway off may have cut this one off as well. A check costs a question to an upstream,
        // the first request would cost its caller the answer.
        for service in newly_lost {
            links::suspect(&self.ctx, &service);
        }
        if !known && !leaving {
            let peer = from.to_string();
            log::info!(peer = peer.as_str(); "peer heard");
        }
        let newcomer = (!known && !leaving).then_some(from);
        // In a large fleet, this is done with the next heartbeat.
        if newcomer.is_some() && self.ctx.state().loads.window().is_none() {
            self.record_fleet(peer_list);
        }
        Effect {
            changed,
            newcomer,
            answer: None,
        }
    }

    /// Handles a datagram that is no digest.
    fn receive_report(&self, from: SocketAddr, bytes: &[u8]) -> Effect {
        if let Ok(report) = rmp_serde::from_slice::<CrashReport>(bytes) {
            let now = self.ctx.now();
            let version = (report.start, report.sequence);
            let trials = &report.trials;
            self.ctx.state().trials.apply(now, from, version, trials);
            crash_watch::merge_reports(&self.ctx, &report.records);
        } else if let Ok(report) = rmp_serde::from_slice::<LimitReport<SocketAddr>>(bytes) {
            let changed = rate_limits::merge_report(&self.ctx, from, report);
            return Effect {
                changed,
                ..Effect::default()
            };
        } else if let Ok(message) = rmp_serde::from_slice::<OriginMessage>(bytes) {
            return Effect {
                answer: origins::receive(&self.ctx, from, message),
                ..Effect::default()
            };
        } else if let Ok(report) = rmp_serde::from_slice::<StoreReport>(bytes) {
            store_calls::receive(&self.ctx, &report);
        } else if let Ok(report) = rmp_serde::from_slice::<MemoryReport>(bytes) {
            crash_watch::learn_memory(&self.ctx, from, report);
        } else {
            self.ctx.telemetry.count("peer.malformed");
        }
        Effect::default()
    }

    /// Updates which gateways live, and the number of those that share the limits of the whole fleet.
    fn record_fleet(&self, peer_list: &PeerList) {
        let now = self.ctx.now();
        let expected = self.ctx.expects_peers();
        let hearsay = peer_list.hearsay(now);
        let neighbourhood = peer_list.neighbourhood(now);
        let gone = {
            let mut state = self.ctx.state();
            let gone = state.loads.set_neighbourhood(neighbourhood);
            state.record_fleet(now, hearsay, expected);
            gone
        };
        self.forget(&gone);
    }

    /// Returns whether there is something that a gateway which is heard for the first time has to know.
    fn has_reports(&self) -> bool {
        let state = self.ctx.state();
        let crashes = !state.suspects.is_empty() || !state.part_suspects.is_empty();
        crashes || !state.limits.is_empty() || state.allowances.is_used()
    }

    /// Returns whether something has to be announced that others must hear in time: claims for tokens and
    /// trials. It does not wait until a narrow link has room for a digest.
    fn has_announcements(&self) -> bool {
        let state = self.ctx.state();
        state.limits.has_updates() || state.trials.has_changed()
    }

    /// Sends a digest to those that have to know the load, and one without it to some of the others.
    async fn send(&self, peer_list: &PeerList, audience: &Audience, heartbeat: bool) {
        let mut digest = self.digest();
        digest.observed = self.ctx.state().directory.speeds.take_untold();
        if heartbeat {
            digest.peers = peer_list.listed(self.ctx.now());
        }
        if digest.stopping {
            self.ctx.state().loads.begin_stop();
        }
        // All have to know which engines were ordered to change their stage, and that this gateway stops.
        let is_for_all = !digest.switching.is_empty() || digest.stopping;
        self.socket.send(&digest, &audience.near).await;
        digest.loads.clear();
        digest.waiting.clear();
        digest.observed.clear();
        digest.classes.clear();
        if heartbeat && is_for_all {
            self.socket.send(&digest, &self.distant(audience)).await;
        } else if !audience.distant.is_empty() {
            self.socket.send(&digest, &audience.distant).await;
        }
    }

    /// Returns all live gateways that are not told the whole load.
    fn distant(&self, audience: &Audience) -> Vec<SocketAddr> {
        let others = self.ctx.state().loads.others().into_iter();
        others
            .filter(|addr| !audience.near.contains(addr))
            .collect()
    }

    /// Lists many gateways to those that are heard for the first time, unless all get every digest.
    async fn welcome(&self, peer_list: &PeerList, audience: &Audience, newcomers: &[SocketAddr]) {
        if newcomers.is_empty() || self.ctx.state().loads.window().is_none() {
            return;
        }
        let mut digest = self.digest();
        digest.peers = peer_list.listed_to_newcomer(self.ctx.now());
        let (near, distant): (Vec<SocketAddr>, Vec<SocketAddr>) = newcomers
            .iter()
            .copied()
            .partition(|addr| audience.near.contains(addr));
        self.socket.send(&digest, &near).await;
        digest.loads.clear();
        digest.waiting.clear();
        digest.classes.clear();
        self.socket.send(&digest, &distant).await;
    }

    /// Returns a digest of what this gateway tells.
    fn digest(&self) -> Digest {
        let mut digest = {
            let state = self.ctx.state();
            let mut digest = state.loads.digest();
            let now = self.ctx.now();
            digest.switching = state.directory.ordered_switches(now);
            digest.failing = state.directory.failing(now);
            digest.departing = state.directory.statements.leaving();
            digest.departing.truncate(MAX_DEPARTING);
            digest.seen = state.seen;
            digest.unreachable = state.links.unreachable();
            digest.classes = classes::reports(&state, now);
            digest
        };
        digest.start = self.start;
        digest.sequence = self.number.fetch_add(1, Ordering::Relaxed);
        digest.stopping = self.ctx.stopping.is_cancelled();
        digest
    }

    /// Sends the trials and what became known of crashes to all peers, and a page of all that is known
    /// to some. Returns whether there is more to send.
    async fn send_crashes(&self, all: &[SocketAddr], some: &[SocketAddr]) -> bool {
        let now = self.ctx.now();
        let (updates, pages, trials, changed, more) = {
            let mut state = self.ctx.state();
            state.suspects.tick(now);
            state.part_suspects.tick(now);
            let updates = [
                state.suspects.next_update(now),
                state.part_suspects.next_update(now),
            ];
            let pages = match some {
                [] => Default::default(),
                _ => [
                    state.suspects.next_page(now),
                    state.part_suspects.next_page(now),
                ],
            };
            let more = state.suspects.has_updates() || state.part_suspects.has_updates();
            let changed = state.trials.take_changed();
            (updates, pages, state.trials.own(), changed, more)
        };
        // Trials go on being announced, in case a datagram is lost.
        let announce = changed || !trials.is_empty();
        let [requests, parts] = updates;
        // Records of requests and of parts go in datagrams of their own, which bounds the size of each.
        let to_all = [(announce || !requests.is_empty(), requests), (false, parts)];
        let to_all = to_all.map(|(send, records)| (send || !records.is_empty(), records, all));
        let to_some = pages.map(|records| (!records.is_empty(), records, some));
        for (send, records, targets) in to_all.into_iter().chain(to_some) {
            if !send {
                continue;
            }
            let report = CrashReport {
                start: self.start,
                sequence: self.number.fetch_add(1, Ordering::Relaxed),
                trials: trials.clone(),
                records,
            };
            self.socket.send(&report, targets).await;
        }
        more
    }

    /// Sends what changed of the rate limits to all peers, in a heartbeat with some of the others to those
    /// that get it, and a page to newcomers. Returns whether there is more to send.
    async fn send_limits(
        &self,
        all: &[SocketAddr],
        newcomers: &[SocketAddr],
        refreshed: Option<&Audience>,
    ) -> bool {
        let now = self.ctx.now();
        let heartbeat = refreshed.is_some();
        let has_changed = self.has_limit_changes();
        let some = refreshed.filter(|_| !has_changed).map(Audience::told);
        let all = some.as_deref().unwrap_or(all);
        let changes = {
            let limits = self.ctx.state().limits.next_records(now, heartbeat);
            (limits, rate_limits::retry_records(&self.ctx, false))
        };
        let page = if newcomers.is_empty() {
            (Vec::new(), Vec::new())
        } else {
            let limits = self.ctx.state().limits.next_records(now, true);
            (limits, rate_limits::retry_records(&self.ctx, true))
        };
        for ((limits, retries), targets) in [(changes, all), (page, newcomers)] {
            if (limits.is_empty() && retries.is_empty()) || targets.is_empty() {
                continue;
            }
            let report = LimitReport {
                limits,
                retries,
                ..self.limit_report()
            };
            self.socket.send(&report, targets).await;
        }
        self.ctx.state().limits.has_updates()
    }

    /// Returns whether something has changed of the rate limits or the retries that all have to know.
    fn has_limit_changes(&self) -> bool {
        let state = self.ctx.state();
        let mut budgets = state.retry_budgets.values();
        state.limits.has_updates() || budgets.any(RetryBudget::has_updates)
    }

    /// Returns the time until the next digest after one to this many peers.
    fn end_round(&self, peers: u32) -> Duration {
        let link = self.ctx.settings().resources.link.0;
        self.socket.end_round(peers, link)
    }

    /// Drops what is no longer true. Returns whether a gateway has gone silent.
    fn expire(&self) -> bool {
        let now = self.ctx.now();
        let gone = {
            let mut state = self.ctx.state();
            let State {
                limits, directory, ..
            } = &mut *state;
            limits.expire(now, |key| rate_limits::is_listed(directory.all(), key));
            state.loads.expire(now)
        };
        self.forget(&gone);
        allowances::record_limited(&self.ctx);
        !gone.is_empty()
    }

    /// Forgets what gateways told that have gone silent.
    fn forget(&self, gone: &[SocketAddr]) {
        for peer in gone {
            self.ctx.state().trials.forget(*peer);
            self.ctx.state().forget(peer);
            let peer = peer.to_string();
            log::warn!(peer = peer.as_str(); "peer silent");
            self.ctx.capacity_freed.notify_waiters();
        }
    }
}

/// Returns the Unix time in milliseconds, which identifies a start of the gateway. Only the order
/// of starts on one VM matters. After the clock was set back, digests of the new start are ignored
/// until the previous start has timed out at the peers.
fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
