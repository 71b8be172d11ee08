//! Which upstream gets a request.

use border::{Model, Stage};
use coord::name::{DataCentre, Service, Upstream};
use coord::time::Time;
use rand::{Rng, RngExt};

use super::board::{Board, Key, Load};
use super::directory::{Directory, Known};

/// The share of an engine's memory that placements may fill. The rest is for blocks that are not
/// full, cached prefixes and placements that other gateways made at the same moment.
const FILL: f64 = 0.95;
/// The share of the output limit that is reserved if the caller gives no estimate.
const OUTPUT_SHARE: f64 = 0.6;
/// What a failed request weighs against the load of an upstream when it is chosen.
const FAILURE_WEIGHT: f64 = 2.0;
/// The share of failures from which an upstream is left out as long as there are others.
const FAILED: f64 = 0.7;
/// What another data centre weighs against the load of an upstream when it is chosen; it costs
/// little time, but the bytes between data centres have a price.
const DISTANCE_WEIGHT: f64 = 0.15;
/// Spread of the choice among upstreams of nearly the same load, so that gateways that decide at
/// the same moment choose different ones.
const JITTER: f64 = 0.05;
/// Gateways for each upstream among which one is picked at random.
const GATEWAYS_PER_CHOICE: usize = 8;
/// How much higher the score of one that is picked may be.
const SPREAD: f64 = 0.5;
/// Requests for each slot of a plain upstream, those that wait there included.
const PLAIN_DEPTH: u32 = 2;

/// What a request to a model needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of memory at the end of the output.
    pub memory: u32,
}

impl Demand {
    /// Returns the demand of a prompt; at most one engine's memory is reserved.
    #[must_use]
    pub fn new(prompt: &border::Prompt, model: &Model) -> Self {
        let most = f64::from(prompt.output);
        let output = match prompt.estimate {
            Some(estimate) => f64::from(estimate).min(most),
            None => most * OUTPUT_SHARE,
        };
        let output = to_tokens(output);
        let memory = prompt.tokens.saturating_add(output);
        Self {
            prompt: prompt.tokens,
            memory: memory.min(limit(model)),
        }
    }
}

/// Returns the tokens of memory that placements may fill on one engine.
#[must_use]
pub fn limit(model: &Model) -> u32 {
    to_tokens(f64::from(model.memory) * FILL)
}

/// Rounds a number of tokens.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of tokens are far below 2^32 and not negative"
)]
fn to_tokens(tokens: f64) -> u32 {
    tokens.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its name.
    pub name: Upstream,
    /// Its key on the board.
    pub key: Key,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

impl From<&Known> for Choice {
    fn from(known: &Known) -> Self {
        Self {
            name: known.name.clone(),
            key: known.key,
            address: known.entry.address,
            data_centre: known.entry.data_centre.clone(),
        }
    }
}

/// What a choice is made from.
pub struct Choosing<'a, R> {
    /// The upstreams.
    pub directory: &'a Directory,
    /// Their load.
    pub board: &'a Board,
    /// The data centre that is preferred.
    pub near: &'a DataCentre,
    /// The current instant.
    pub now: Time,
    /// Breaks ties.
    pub rng: &'a mut R,
    /// How many places are left to other gateways whose requests go first; `None` if no others
    /// wait for places, so that the best one may be taken.
    pub rank: Option<usize>,
}

impl<'a, R: Rng> Choosing<'a, R> {
    /// Chooses an upstream of a plain service, or `None` if all are full.
    pub fn plain(&mut self, service: &Service, tried: &[Upstream]) -> Option<Choice> {
        let room = |known: &Known, load: Load| load.requests < known.entry.slots * PLAIN_DEPTH;
        let weight =
            |known: &Known, load: Load| f64::from(load.requests) / f64::from(known.entry.slots);
        self.choose(service, None, tried, room, weight)
    }

    /// Chooses the engine that reads a prompt.
    pub fn prefill(&mut self, service: &Service, tried: &[Upstream]) -> Option<Choice> {
        // A prompt of a thousand tokens weighs as much as the distance to another data centre.
        let weight = |_: &Known, load: Load| f64::from(load.unread) / 1_000.0 * DISTANCE_WEIGHT;
        self.choose(service, Some(Stage::Prefill), tried, |_, _| true, weight)
    }

    /// Chooses the engine that generates, or `None` if none has room.
    pub fn decode(
        &mut self,
        service: &Service,
        model: &Model,
        demand: Demand,
        tried: &[Upstream],
    ) -> Option<Choice> {
        self.decode_below(service, model, (demand, limit(model)), tried)
    }

    /// Chooses the engine that generates for a request whose prompt has been read already.
    ///
    /// The result of that lapses soon, so the reserve for growing outputs may be used as well.
    pub fn decode_read(
        &mut self,
        service: &Service,
        model: &Model,
        demand: Demand,
        tried: &[Upstream],
    ) -> Option<Choice> {
        self.decode_below(service, model, (demand, model.memory), tried)
    }

    fn decode_below(
        &mut self,
        service: &Service,
        model: &Model,
        (demand, limit): (Demand, u32),
        tried: &[Upstream],
    ) -> Option<Choice> {
        let room = |known: &Known, load: Load| {
            load.memory + demand.memory <= limit && load.requests < known.entry.slots
        };
        let weight = |_: &Known, load: Load| f64::from(load.memory) / f64::from(model.memory);
        self.choose(service, Some(Stage::Decode), tried, room, weight)
    }

    fn choose(
        &mut self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
        room: impl Fn(&Known, Load) -> bool,
        weight: impl Fn(&Known, Load) -> f64,
    ) -> Option<Choice> {
        let mut fitting = match self.fitting(service, stage, tried, room, weight) {
            Ok(fitting) => fitting,
            Err(suspect) => return suspect,
        };
        if let Some(rank) = self.rank {
            // In the same order at all gateways.
            fitting.sort_by_key(|(_, known)| known.key);
            return fitting.get(rank).map(|(_, known)| Choice::from(*known));
        }
        fitting.sort_by(|a, b| a.0.total_cmp(&b.0));
        // What gateways place at the same moment is not on the board yet. The more of them there
        // are, the more they spread.
        let lowest = fitting.first().map_or(0.0, |(score, _)| *score);
        fitting.retain(|(score, _)| *score < lowest + SPREAD);
        let spread = (self.board.gateways() / GATEWAYS_PER_CHOICE).clamp(1, fitting.len().max(1));
        let picked = self.rng.random_range(0..spread);
        fitting.get(picked).map(|(_, known)| Choice::from(*known))
    }

    /// Returns the upstreams with room and their scores; if all are suspected, the one to try.
    fn fitting(
        &mut self,
        service: &Service,
        stage: Option<Stage>,
        tried: &[Upstream],
        room: impl Fn(&Known, Load) -> bool,
        weight: impl Fn(&Known, Load) -> f64,
    ) -> Result<Vec<(f64, &'a Known)>, Option<Choice>> {
        let able: Vec<&'a Known> = self
            .directory
            .usable(service, stage)
            .filter(|known| !tried.contains(&known.name))
            .collect();
        let elsewhere = self.board.failing(able.len());
        let failures = |known: &Known| {
            let own = known.health.failure_rate(self.now);
            if known.health.answered(self.now) {
                return own;
            }
            let seen = elsewhere.get(&known.key).copied().unwrap_or_default();
            seen.max(own)
        };
        // An engine that died has the most room, so it must not be a candidate at all.
        let sound = |known: &&&'a Known| {
            let able = !known.health.ejected(self.now) && !known.is_switching(self.now);
            able && failures(known) < FAILED
        };
        let sound: Vec<&'a Known> = able.iter().filter(sound).copied().collect();
        if sound.is_empty() {
            // All are suspected: the one whose pause ends first is tried again.
            let next = able.iter().min_by_key(|known| known.health.until());
            return Err(next.map(|known| Choice::from(*known)));
        }
        let mut fitting: Vec<(f64, &'a Known)> = Vec::new();
        for known in sound {
            let load = self.board.load(known.key);
            let full = known.health.is_full(self.now);
            if full || !room(known, load) {
                continue;
            }
            let far = known.entry.data_centre != *self.near;
            let cold = if known.entry.cold.is_zero() { 0.0 } else { 1.0 };
            let score = weight(known, load)
                + failures(known) * FAILURE_WEIGHT
                + if far { DISTANCE_WEIGHT } else { 0.0 }
                + cold
                + self.rng.random_range(0.0..JITTER);
            fitting.push((score, known));
        }
        Ok(fitting)
    }
}
