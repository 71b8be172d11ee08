//! Choice of the upstream for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use border::{Model, Stage};
use coord::limit::{LimitKey, SharedLimits};
use coord::name::{DataCentre, Service, Upstream};
use coord::origin::BuildKey;
use coord::time::Time;
use rand::{Rng, RngExt};

use crate::gateway::admission::load_table::{Key, Load, LoadTable, service_key};
use crate::gateway::engines::directory::{Directory, Endpoint};
use crate::gateway::engines::speeds::Work;

/// Share of an engine's KV cache that placements may fill. The rest is left for partially filled
/// blocks, cached prefixes and placements that other gateways make at the same moment.
const KV_FILL_SHARE: f64 = 0.95;
/// Share of the output limit that is reserved if the caller gives no estimate.
const DEFAULT_OUTPUT_SHARE: f64 = 0.6;
/// Factor by which an upstream's failure rate adds to its score.
const FAILURE_WEIGHT: f64 = 2.0;
/// Failure rate from which an upstream is skipped as long as others are available.
const MAX_FAILURE_RATE: f64 = 0.7;
/// Score added to an upstream in another data centre. The latency between data centres is small,
/// but the traffic is charged for.
const REMOTE_WEIGHT: f64 = 0.15;
/// Upper bound of the random score that is added to each upstream, so that gateways that decide at
/// the same moment choose different upstreams of nearly the same load.
const JITTER: f64 = 0.05;
/// Number of gateways with the same upstreams per candidate in the random pick, which has at least one candidate.
const GATEWAYS_PER_CANDIDATE: usize = 8;
/// Highest difference from the best score at which an upstream takes part in the random pick.
const MAX_SCORE_GAP: f64 = 0.5;
/// Score added to an upstream that names a rate limit, so that others are used first.
const LIMITED_WEIGHT: f64 = 1.0;
/// Score added to a prefill engine of another build than the decode engine, which imports what it wrote. A
/// queue of 2,000 prompt tokens adds as much.
const OTHER_BUILD_WEIGHT: f64 = 0.3;
/// Time that a stream is assumed to take. A slowdown that is stated now holds only for its first part.
const DECODE_SPAN: Duration = Duration::from_secs(2);
/// Longest gap of a stream as a multiple of the mean gap of its engine. Other work on the machine holds up some events.
const LONGEST_GAP: f64 = 2.0;
/// Requests for each slot of a plain upstream, including those that queue at the upstream.
const REQUESTS_PER_SLOT: u32 = 2;

/// Upstreams of a service that each gateway of a large fleet uses at least.
const LEAST_USED: usize = 6;
/// How many times the usual number of slots of its service an upstream may state and be believed.
const MAX_SLOT_RATIO: u32 = 16;

/// KV cache that a request to a model needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the KV cache when the output is complete.
    pub kv_tokens: u32,
}

impl Demand {
    /// Returns the demand of a prompt, capped at the usable KV cache of one engine.
    #[must_use]
    pub fn new(prompt: &border::Prompt, model: &Model) -> Self {
        let limit = f64::from(prompt.output_limit);
        let output = match prompt.output_estimate {
            Some(estimate) => f64::from(estimate).min(limit),
            None => limit * DEFAULT_OUTPUT_SHARE,
        };
        let output = to_tokens(output);
        let kv_tokens = prompt.tokens.saturating_add(output);
        Self {
            prompt_tokens: prompt.tokens,
            kv_tokens: kv_tokens.min(usable_tokens(model)),
        }
    }
}

/// Returns the KV cache tokens that placements may fill on one engine.
#[must_use]
pub fn usable_tokens(model: &Model) -> u32 {
    to_tokens(f64::from(model.kv_capacity) * KV_FILL_SHARE)
}

/// Returns the keys of the upstreams that this gateway uses as long as one of them is healthy, or `None` if it
/// uses all. In a large fleet, each gateway uses some in each data centre and knows all their load.
#[must_use]
pub fn used_keys(
    directory: &Directory,
    loads: &LoadTable,
    service: &Service,
    stage: Option<Stage>,
) -> Option<BTreeSet<Key>> {
    let window = loads.window()?;
    let mut centres: BTreeMap<&DataCentre, Vec<Key>> = BTreeMap::new();
    for endpoint in directory.usable(service, stage, None) {
        let centre = centres.entry(&endpoint.entry.data_centre).or_default();
        centre.push(endpoint.key);
    }
    // Each part of the ring has upstreams of all data centres, in proportion to their number.
    let mut ring: Vec<(f64, Key)> = Vec::new();
    for keys in centres.values() {
        let share = 1.0 / f64::from(u32::try_from(keys.len()).unwrap_or(u32::MAX));
        let places = (0..).map(|number| (f64::from(number) + 0.5) * share);
        ring.extend(places.zip(keys.iter().copied()));
    }
    ring.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let window = window.with_least(LEAST_USED, ring.len());
    let numbered = ring.iter().enumerate();
    let used = numbered.filter(|(index, _)| window.contains(*index, ring.len()));
    Some(used.map(|(_, (_, key))| *key).collect())
}

/// Returns the number of slots that most plain upstreams of a service state: the lower median.
#[must_use]
pub fn usual_slots(directory: &Directory, service: &Service) -> u32 {
    let all = directory.usable(service, None, None);
    let mut slots: Vec<u32> = all.map(|endpoint| endpoint.entry.slots).collect();
    slots.sort_unstable();
    let middle = slots.len().saturating_sub(1) / 2;
    slots.get(middle).copied().unwrap_or(1)
}

/// Returns the number of slots with which an upstream counts. Other writers may leave any number in its entry, and
/// one that is far too high would draw the requests of the whole service.
#[must_use]
pub fn believed_slots(stated: u32, usual: u32) -> u32 {
    if stated > usual.saturating_mul(MAX_SLOT_RATIO) {
        usual
    } else {
        stated.max(1)
    }
}

/// Returns the work until the end of a request with `own` work behind `queued` at an upstream on which all of it takes
/// `factor` times as long as usual, less the request's own at the usual speed, which is the same everywhere.
/// It is exactly `queued` at the usual speed.
fn slowed(queued: u32, own: u32, factor: f64) -> f64 {
    (f64::from(queued) + f64::from(own)) * factor - f64::from(own)
}

/// Rounds to a whole number of tokens.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of tokens are far below 2^32 and not negative"
)]
fn to_tokens(tokens: f64) -> u32 {
    tokens.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the upstream.
    pub name: Upstream,
    /// Key of the upstream in the load table.
    pub key: Key,
    /// Key of the upstream's start in the table of rate limits.
    pub limit_key: LimitKey,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Service that the upstream provided.
    pub service: Service,
    /// Stage that the upstream served; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Key of the version of its software.
    pub build: BuildKey,
}

impl From<&Endpoint> for Choice {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            key: endpoint.key,
            limit_key: endpoint.limit_key,
            address: endpoint.entry.address,
            data_centre: endpoint.entry.data_centre.clone(),
            service: endpoint.entry.service.clone(),
            stage: endpoint.entry.stage,
            build: endpoint.build,
        }
    }
}

/// The inputs of a placement decision.
pub struct Placer<'a, R> {
    /// The known upstreams.
    pub directory: &'a Directory,
    /// Load on the upstreams.
    pub loads: &'a LoadTable,
    /// Rate limits that upstreams name.
    pub limits: &'a SharedLimits<SocketAddr>,
    /// Longest time until a limited upstream takes the request; `None` if there is no time to agree with
    /// other gateways that it does.
    pub patience: Option<Duration>,
    /// The build at which the stream began, which alone may continue it; `None` before its first event.
    pub build: Option<BuildKey>,
    /// Data centre whose upstreams are preferred.
    pub preferred: &'a DataCentre,
    /// Time of the decision.
    pub now: Time,
    /// Random source that spreads the choices of different gateways.
    pub rng: &'a mut R,
    /// Number of candidates that are left to other gateways whose requests take precedence, or
    /// `None` if no requests wait at other gateways, so that the best candidate may be taken.
    pub rank: Option<usize>,
    /// Longest gap between the events of a stream that is on time, if the route names one.
    pub max_gap: Option<Duration>,
}

impl<'a, R: Rng> Placer<'a, R> {
    /// Chooses an upstream of a plain service, or returns `None` if all are full.
    pub fn choose_plain(&mut self, service: &Service, tried: &[Upstream]) -> Option<Choice> {
        let usual = usual_slots(self.directory, service);
        let slots = |e: &Endpoint| believed_slots(e.entry.slots, usual);
        let has_room =
            |e: &Endpoint, load: Load| load.requests < slots(e).saturating_mul(REQUESTS_PER_SLOT);
        let (directory, now) = (self.directory, self.now);
        let load_score = |e: &Endpoint, load: Load| {
            let factor = directory.speeds.factor(now, e.limit_key);
            slowed(load.requests, 1, factor) / f64::from(slots(e))
        };
        self.choose(service, None, tried, has_room, load_score, |_| false)
    }

    /// Chooses an engine for the prefill of a prompt, preferably of the build of the engine that decodes.
    pub fn choose_prefill(
        &mut self,
        service: &Service,
        demand: Demand,
        decode: BuildKey,
        tried: &[Upstream],
    ) -> Option<Choice> {
        let (directory, now) = (self.directory, self.now);
        // 1000 prompt tokens add as much to the score as a location in another data centre.
        let load_score = |endpoint: &Endpoint, load: Load| {
            let factor = directory.speeds.factor(now, endpoint.limit_key);
            let tokens = slowed(load.unprefilled_tokens, demand.prompt_tokens, factor);
            let queued = tokens / 1_000.0 * REMOTE_WEIGHT;
            let is_other = endpoint.build != decode;
            queued + if is_other { OTHER_BUILD_WEIGHT } else { 0.0 }
        };
        self.choose(
            service,
            Some(Stage::Prefill),
            tried,
            |_, _| true,
            load_score,
            |_| false,
        )
    }

    /// Chooses a decode engine, or returns `None` if none has enough free KV cache.
    pub fn choose_decode(
        &mut self,
        service: &Service,
        model: &Model,
        demand: Demand,
        tried: &[Upstream],
    ) -> Option<Choice> {
        self.choose_decode_within(service, model, (demand, usable_tokens(model)), tried)
    }

    /// Chooses a decode engine for a request whose prompt is already prefilled.
    ///
    /// The prefill result expires soon, so the part of the KV cache that is kept free for growing
    /// outputs may be used as well.
    pub fn choose_decode_prefilled(
        &mut self,
        service: &Service,
        model: &Model,
        demand: Demand,
        tried: &[Upstream],
    ) -> Option<Choice> {
        self.choose_decode_within(service, model, (demand, model.kv_capacity), tried)
    }

    fn choose_decode_within(
        &mut self,
        service: &Service,
        model: &Model,
        (demand, limit): (Demand, u32),
        tried: &[Upstream],
    ) -> Option<Choice> {
        let has_room = |e: &Endpoint, load: Load| {
            load.kv_tokens.saturating_add(demand.kv_tokens) <= limit
                && load.requests < e.entry.slots
        };
        let (directory, now) = (self.directory, self.now);
        let factor = |e: &Endpoint| directory.speeds.factor_over(now, e.limit_key, DECODE_SPAN);
        let load_score = |e: &Endpoint, load: Load| {
            slowed(load.kv_tokens, demand.kv_tokens, factor(e)) / f64::from(model.kv_capacity)
        };
        let gap = directory.speeds.usual(service_key(service), Work::Event);
        let gap = gap.zip(self.max_gap);
        let is_late = |e: &Endpoint| {
            gap.is_some_and(|(usual, max)| usual.mul_f64(factor(e) * LONGEST_GAP) > max)
        };
        self.choose(
            service,
            Some(Stage::Decode),
            tried,
            has_room,
            load_score,
            is_late,
        )
    }

    /// Returns the upstream that takes a request next, if all that could take it are limited and none of them
    /// does so within the patience.
    #[must_use]
    pub fn limited_out(
        &self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
    ) -> Option<&'a Endpoint> {
        let eligible = self.eligible(service, stage, tried);
        let healthy: Vec<&Endpoint> = eligible
            .iter()
            .copied()
            .filter(|e| !e.health.is_ejected(self.now) && !e.is_switching(self.now))
            .collect();
        let open = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        if open.iter().any(|endpoint| self.within_limit(endpoint)) {
            return None;
        }
        open.into_iter()
            .min_by_key(|endpoint| self.limit_wait(endpoint))
    }

    fn limit_wait(&self, endpoint: &Endpoint) -> Option<Duration> {
        self.limits.wait(self.now, endpoint.limit_key)
    }

    fn within_limit(&self, endpoint: &Endpoint) -> bool {
        let key = endpoint.limit_key;
        self.limits.has_room(self.now, key, self.patience)
    }

    fn eligible(
        &self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
    ) -> Vec<&'a Endpoint> {
        let usable = self.directory.usable(service, stage, self.build);
        usable
            .filter(|e| !tried.contains(&e.name) && self.pause_left(e).is_none())
            .collect()
    }

    fn pause_left(&self, endpoint: &Endpoint) -> Option<Duration> {
        let statements = &self.directory.statements;
        statements.pause_left(self.now, endpoint.limit_key)
    }

    /// Returns the upstream that takes requests again first, and when, if all that were not tried have
    /// stated that they take none for a while.
    #[must_use]
    pub fn paused_out(
        &self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
    ) -> Option<(&'a Endpoint, Duration)> {
        let mut first: Option<(&'a Endpoint, Duration)> = None;
        let usable = self.directory.usable(service, stage, self.build);
        for endpoint in usable.filter(|e| !tried.contains(&e.name)) {
            let left = self.pause_left(endpoint)?;
            if first.is_none_or(|(_, least)| left < least) {
                first = Some((endpoint, left));
            }
        }
        first
    }

    /// Chooses the upstream with room and the lowest score, or another one near it. Those that are the last choice get
    /// the request only if no others have room.
    fn choose(
        &mut self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
        has_room: impl Fn(&Endpoint, Load) -> bool,
        load_score: impl Fn(&Endpoint, Load) -> f64,
        is_last: impl Fn(&Endpoint) -> bool,
    ) -> Option<Choice> {
        let mut candidates = match self.candidates(service, stage, tried, has_room, load_score) {
            Ok(candidates) => candidates,
            Err(suspect) => return suspect,
        };
        if candidates.iter().any(|(_, endpoint)| !is_last(endpoint)) {
            candidates.retain(|(_, endpoint)| !is_last(endpoint));
        }
        if let Some(rank) = self.rank {
            // All gateways sort by key, so that each rank means the same upstream everywhere.
            candidates.sort_by_key(|(_, endpoint)| endpoint.key);
            return candidates
                .get(rank)
                .map(|(_, endpoint)| Choice::from(*endpoint));
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Placements that other gateways make at the same moment are not in the load table yet. The
        // pick is spread over more candidates the more gateways there are.
        let lowest = candidates.first().map_or(0.0, |(score, _)| *score);
        candidates.retain(|(score, _)| *score < lowest + MAX_SCORE_GAP);
        let choices =
            (self.loads.sharing_count() / GATEWAYS_PER_CANDIDATE).clamp(1, candidates.len().max(1));
        let picked = self.rng.random_range(0..choices);
        candidates
            .get(picked)
            .map(|(_, endpoint)| Choice::from(*endpoint))
    }

    /// Returns the upstreams with free capacity and their scores. If none is healthy, returns the
    /// one to try as the error.
    fn candidates(
        &mut self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
        has_room: impl Fn(&Endpoint, Load) -> bool,
        load_score: impl Fn(&Endpoint, Load) -> f64,
    ) -> Result<Vec<(f64, &'a Endpoint)>, Option<Choice>> {
        let eligible = self.eligible(service, stage, tried);
        let peer_rates = self.loads.peer_failure_rates(eligible.len());
        let failure_rate = |endpoint: &Endpoint| {
            let own = endpoint.health.failure_rate(self.now);
            if endpoint.health.recently_answered(self.now) {
                return own;
            }
            let seen = peer_rates.get(&endpoint.key).copied().unwrap_or_default();
            seen.max(own)
        };
        // A failed engine carries the least load, so it has to be excluded rather than scored.
        let healthy = |endpoint: &&&'a Endpoint| {
            let available =
                !endpoint.health.is_ejected(self.now) && !endpoint.is_switching(self.now);
            available && failure_rate(endpoint) < MAX_FAILURE_RATE
        };
        let mut healthy: Vec<&'a Endpoint> = eligible.iter().filter(healthy).copied().collect();
        if let Some(used) = used_keys(self.directory, self.loads, service, stage)
            && healthy.iter().any(|endpoint| used.contains(&endpoint.key))
        {
            healthy.retain(|endpoint| used.contains(&endpoint.key));
        }
        if healthy.is_empty() {
            // None is healthy: the upstream whose ejection ends first is tried again.
            let next = eligible
                .iter()
                .filter(|endpoint| self.within_limit(endpoint))
                .min_by_key(|endpoint| endpoint.health.ejected_until());
            return Err(next.map(|endpoint| Choice::from(*endpoint)));
        }
        let mut candidates: Vec<(f64, &'a Endpoint)> = Vec::new();
        for endpoint in healthy {
            let load = self.loads.load(endpoint.key);
            let full = endpoint.health.is_full(self.now);
            if full || !has_room(endpoint, load) || !self.within_limit(endpoint) {
                continue;
            }
            let remote = endpoint.entry.data_centre != *self.preferred;
            let warmup_penalty = if endpoint.entry.warmup_left.is_zero() {
                0.0
            } else {
                1.0
            };
            // Only an answer shows that a limit has ended, so one that is old is not avoided.
            let limited = self.limit_wait(endpoint).is_some()
                && !self.limits.is_stale(self.now, endpoint.limit_key);
            let score = load_score(endpoint, load)
                + if limited { LIMITED_WEIGHT } else { 0.0 }
                + failure_rate(endpoint) * FAILURE_WEIGHT
                + if remote { REMOTE_WEIGHT } else { 0.0 }
                + warmup_penalty
                + self.rng.random_range(0.0..JITTER);
            candidates.push((score, endpoint));
        }
        Ok(candidates)
    }
}
