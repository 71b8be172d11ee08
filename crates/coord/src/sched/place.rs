//! The choice of the engines for a job.
//!
//! Every prefill engine is scored by the expected time until it has computed the prompt: its
//! backlog plus the time for the tokens that are not in its prefix cache. A busy engine that has
//! the prefix in its cache may thus have a better score than an idle one, and the job then waits
//! for it.

use std::time::Duration;

use super::Scheduler;
use super::job::Entry;
use super::links::LinkLimits;
use super::prefix::Matches;
use super::table::EngineState;
use super::types::{Class, Role};
use crate::hash::rendezvous_score;
use crate::time::Time;

/// A prefill is started this long before the engine's current one is expected to end, so that the
/// engine is not idle during the message latency.
const PREFILL_LOOKAHEAD: Duration = Duration::from_millis(10);

/// Maximum number of prefills on one engine: the running one and the next one.
const MAX_ENGINE_PREFILLS: usize = 2;

/// Share of the time until its eviction for which the result of a prefill may be planned to wait
/// for a decode slot.
const READY_TTL_SHARE: f64 = 0.6;

/// Share of the time from the end of its transfer to the deadline of its job for which the result
/// of a prefill may be planned to wait for a decode slot.
const READY_SLACK_SHARE: f64 = 0.5;

/// The available prefill engines during one pass over the queue.
///
/// A pass scores every engine for several jobs. Times are integers in microseconds to keep a pass
/// within the time limit of a scheduling decision.
pub(super) type Candidates = Vec<Candidate>;

/// One available prefill engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    index: usize,
    /// Time until its prefills end, including those of earlier jobs of this pass.
    wait_us: u64,
    /// Time until it has a free decode slot for a job of each class, indexed by [`Class`]. It is
    /// always 0 for an engine that computes prompts only.
    slot_us: [u64; 2],
    /// True if it accepts a prompt now and no earlier job of this pass uses or waits for it.
    available: bool,
    /// True if a new block would evict another one from its prefix cache.
    cache_full: bool,
}

impl Candidate {
    /// Returns true if the engine accepts a prompt now and no earlier job of this pass uses or
    /// waits for it.
    pub(super) fn is_available(&self) -> bool {
        self.available
    }
}

/// Which engines have a prompt's prefix in their cache, and which engine is preferred for it.
struct PrefixState {
    matches: Matches,
    /// Number of leading blocks on the engine that holds most of them.
    max_cached: u16,
    /// The preferred engine of the prefix, if it is available.
    preferred: Option<usize>,
    /// Number of available engines that compute prompts.
    engines: usize,
}

/// The engine on which the prefill of a job should run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) prefill: usize,
    /// Number of prompt tokens that are not in its prefix cache.
    pub(super) uncached_tokens: u32,
    /// Expected duration of the prefill.
    pub(super) prefill_us: u64,
    /// True if the engine accepts the prompt now.
    pub(super) available: bool,
}

impl Scheduler {
    /// Returns true if at least one engine accepts a prompt now.
    pub(super) fn any_engine_accepts_prompt(&self, now: Time) -> bool {
        self.engines.states.iter().any(|s| accepts_prompt(s, now))
    }

    /// Returns the available prefill engines.
    pub(super) fn available_engines(&self, now: Time) -> Candidates {
        let reserve = [Class::Interactive, Class::Patient].map(|c| self.reserve(now, c));
        let states = self.engines.states.iter().enumerate();
        let available = states.filter(|(_, s)| s.can_prefill() && s.is_available(now));
        let candidate = |(index, state): (usize, &EngineState)| {
            // An engine of both roles needs a free decode slot itself.
            let both = state.engine.role == Role::Both;
            let blocked = |reserve: u32| both && state.free_slots() <= reserve;
            let next = |reserve| {
                if blocked(reserve) {
                    self.estimates.next_slot_micros(state.used_slots)
                } else {
                    0
                }
            };
            Candidate {
                index,
                wait_us: as_micros(state.backlog(now)),
                slot_us: reserve.map(next),
                available: accepts_prompt(state, now),
                cache_full: self.prefixes.is_full(index),
            }
        };
        available.map(candidate).collect()
    }

    /// Records that a job of this pass uses or waits for an engine, so that later jobs of the pass
    /// take it into account.
    pub(super) fn mark_taken(engines: &mut Candidates, choice: &Choice) {
        if let Some(engine) = engines.iter_mut().find(|e| e.index == choice.prefill) {
            engine.wait_us += choice.prefill_us;
            engine.available = false;
        }
    }

    fn prefix_state(&self, now: Time, prefix: &[u64], engines: usize) -> PrefixState {
        let matches = self.prefixes.matches(prefix);
        let available = |i: &usize| self.engines.states[*i].is_available(now);
        PrefixState {
            max_cached: matches.iter().copied().max().unwrap_or(0),
            matches,
            preferred: self.affinity.preferred(prefix).filter(available),
            engines,
        }
    }

    /// Returns the engine on which the prefill of a job should run, or `None` if none is available.
    pub(super) fn place(&self, now: Time, entry: &Entry, engines: &Candidates) -> Option<Choice> {
        let prefix = self.prefix_state(now, &entry.job.prefix, engines.len());
        let mut best: Option<(u64, Choice)> = None;
        let class = entry.job.class as usize;
        for engine in engines {
            let choice = self.evaluate(entry, engine, &prefix);
            let score = engine.wait_us
                + engine.slot_us[class]
                + choice.prefill_us
                + self.eviction_cost(engine, &prefix, &choice);
            let better = match &best {
                None => true,
                Some((least, _)) if score != *least => score < *least,
                Some((_, other)) => self.wins_tie(entry, choice.prefill, other.prefill),
            };
            if better {
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Decides between two engines with equal scores by rendezvous hashing, so that prompts with
    /// the same new prefix choose the same engine.
    fn wins_tie(&self, entry: &Entry, one: usize, other: usize) -> bool {
        let key = entry.job.prefix.first().copied().unwrap_or_default();
        let name = |i: usize| self.engines.states[i].engine.name.as_str();
        rendezvous_score(key, name(one)) > rendezvous_score(key, name(other))
    }

    /// Returns the expected prefill of a job on one engine.
    fn evaluate(&self, entry: &Entry, engine: &Candidate, prefix: &PrefixState) -> Choice {
        let blocks = u32::from(prefix.cached_blocks(engine.index));
        let cached = blocks * self.options.block_tokens;
        let uncached_tokens = entry.job.prompt_tokens.saturating_sub(cached);
        Choice {
            prefill: engine.index,
            uncached_tokens,
            prefill_us: self.estimates.prefill_micros(uncached_tokens),
            available: engine.available && engine.slot_us[entry.job.class as usize] == 0,
        }
    }

    /// Returns the cost of the blocks of other prefixes that a prompt would evict on an engine, in
    /// microseconds of computation.
    ///
    /// Blocks count if another engine holds them already, or if the prefix should not be stored on
    /// this engine: another engine is preferred for it, or it is new and this engine has its share
    /// of prefixes. Storing such blocks in a full cache evicts as many blocks of other prefixes,
    /// which have to be computed again.
    fn eviction_cost(&self, engine: &Candidate, prefix: &PrefixState, choice: &Choice) -> u64 {
        if !engine.cache_full {
            return 0;
        }
        let own = prefix.cached_blocks(engine.index);
        let copied = u32::from(prefix.max_cached.saturating_sub(own));
        let copy = self
            .estimates
            .compute_micros(copied * self.options.block_tokens);
        let misplaced = match prefix.preferred {
            Some(preferred) => preferred != engine.index && own == 0,
            None => self
                .affinity
                .exceeds_prefix_bound(engine.index, prefix.engines),
        };
        if misplaced {
            copy.max(choice.prefill_us)
        } else {
            copy
        }
    }

    /// Returns the engine on which a decode slot can be reserved for the chosen prefill.
    ///
    /// Slots count as free if running streams are expected to release them in time, that is, with
    /// a margin before the result of the prefill is evicted and before the deadline of the job.
    pub(super) fn reservable_slot(
        &self,
        now: Time,
        entry: &Entry,
        choice: &Choice,
    ) -> Option<usize> {
        let class = entry.job.class;
        let source = &self.engines.states[choice.prefill];
        if source.engine.role == Role::Both {
            return Some(choice.prefill);
        }
        let available = || {
            self.engines
                .states
                .iter()
                .enumerate()
                .filter(|(_, s)| s.is_available(now) && s.can_decode())
        };
        let total = available().map(|(_, s)| s.engine.slots).sum::<u32>();
        let taken = available()
            .map(|(_, s)| s.used_slots + s.reserved_slots + s.untracked_slots)
            .sum::<u32>();
        let streams = available().map(|(_, s)| s.used_slots).sum::<u32>();
        let time = Duration::from_micros(choice.prefill_us);
        let end = now + time + self.estimates.transfer(self.bytes(entry));
        let slack = entry.job.deadline.since(end).mul_f64(READY_SLACK_SHARE);
        let max_wait = self.options.prefill_ttl.mul_f64(READY_TTL_SHARE).min(slack);
        let horizon = time + max_wait;
        let freed = self.estimates.likely_freed(streams, horizon);
        let fits = taken + self.reserve(now, class) < total + freed;
        let emptiest = available()
            .max_by_key(|(i, s)| (s.free_slots(), u32::MAX - s.reserved_slots, usize::MAX - i));
        emptiest.map(|(index, _)| index).filter(|_| fits)
    }

    /// Returns true if the link can transfer the result of the prefill in time.
    pub(super) fn link_fits(&self, now: Time, entry: &Entry, choice: &Choice) -> bool {
        let state = &self.engines.states[choice.prefill];
        if state.engine.role == Role::Both {
            return true;
        }
        let limits = LinkLimits {
            rate: self.options.link_rate,
            ttl: self.options.prefill_ttl,
        };
        let ready = now + state.backlog(now) + Duration::from_micros(choice.prefill_us);
        let (from, bytes) = (&state.engine.data_centre, self.bytes(entry));
        self.links.fits(now, from, ready, bytes, limits)
    }

    /// Returns an engine with a free decode slot for a finished prefill. The engine with the
    /// reserved slot is preferred.
    pub(super) fn free_slot_for(&self, now: Time, source: usize, reserved: usize) -> Option<usize> {
        let has_room =
            |s: &EngineState| s.used_slots + s.untracked_slots < s.engine.slots && s.can_decode();
        let first = &self.engines.states[reserved];
        let accepts = source == reserved || first.accepts_reserved(now);
        if has_room(first) && first.full_until <= now && accepts {
            return Some(reserved);
        }
        if self.engines.states[source].engine.role == Role::Both {
            return None;
        }
        let all = self.engines.states.iter().enumerate();
        let available =
            all.filter(|(_, s)| s.is_available(now) && s.full_until <= now && has_room(s));
        available
            .max_by_key(|(i, s)| (s.free_slots(), usize::MAX - i))
            .map(|(i, _)| i)
    }
}

impl PrefixState {
    /// Returns the number of leading blocks that an engine holds.
    fn cached_blocks(&self, engine: usize) -> u16 {
        self.matches.get(engine).copied().unwrap_or(0)
    }
}

fn as_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns true if the engine accepts a prompt now.
fn accepts_prompt(state: &EngineState, now: Time) -> bool {
    let soon = state.backlog(now) <= PREFILL_LOOKAHEAD;
    let room = state.prefills.len() < MAX_ENGINE_PREFILLS && state.full_until <= now;
    state.is_available(now) && state.can_prefill() && soon && room
}
