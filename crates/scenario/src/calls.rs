//! The calls that simulated upstreams run: prefills, decodes and plain calls.

use std::time::Duration;

use coord::name::Upstream;
use coord::sched::{CacheEvent, PrefillUsage};

use crate::caller::answer_token;
use crate::engine::{AcceptedWork, Call, CallId, HeldCall, Reply};
use crate::simulation::{HOP_LATENCY, Simulation};

/// How long a prefill engine keeps a result that no decode engine imports.
const PREFILL_RESULT_TTL: Duration = Duration::from_millis(800);

/// The maximum number of prefills that an engine holds.
const MAX_PREFILLS: usize = 4;

/// The number of prompt tokens that a prefill engine computes per second.
const PREFILL_TOKENS_PER_SECOND: f64 = 40_000.0;

/// The size of the KV cache of one token.
const KV_BYTES_PER_TOKEN: f64 = 70_000.0;

/// The transfer rate between two engines.
const LINK_BYTES_PER_SECOND: f64 = 10_000_000_000.0;

/// The time from the start of a poison request to the crash of its engine.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(20);

impl Simulation {
    /// Sends a call, after the delay that the scenario has set for connections to the upstream.
    pub fn start_call(
        &mut self,
        call: Call,
        on_arrival: impl FnOnce(&mut Simulation, Call) + 'static,
    ) {
        let delay = self
            .engines
            .get(&call.to)
            .map_or(Duration::ZERO, |e| e.delay);
        self.schedule(delay, move |sim| {
            let failed = call.clone();
            let on_unreachable = move |sim: &mut Simulation| sim.reply(&failed, Reply::Unreachable);
            let (vm, to) = (call.vm, call.to.clone());
            sim.call_engine(vm, &to, move |sim| on_arrival(sim, call), on_unreachable);
        });
    }

    /// Sends a reply to the VM that made a call, unless a partition separates them.
    pub fn reply(&mut self, call: &Call, reply: Reply) {
        if self
            .net
            .is_partitioned(self.vms[call.vm].name.as_str(), call.to.as_str())
        {
            // The connection stays silent after the partition heals; only new ones work again.
            if let Some(engine) = self.engines.get_mut(&call.to) {
                let held = [
                    engine.prefills.get_mut(&call.id),
                    engine.streams.get_mut(&call.id),
                ];
                held.into_iter()
                    .flatten()
                    .for_each(|held| held.silent = true);
            }
            return;
        }
        let (vm, generation, call) = (call.vm, call.generation, call.clone());
        self.schedule(HOP_LATENCY, move |sim| {
            sim.run_on_vm(vm, generation, move |sim| sim.on_reply(vm, &call, &reply));
        });
    }

    /// Records that an upstream has accepted work; `is_run` if it counts as a run of the request.
    fn accept_work(&mut self, call: &Call, is_run: bool) {
        self.add_trace(&format!(
            "{} accepts {} ({})",
            call.to, call.request, call.id.1
        ));
        self.accepted_work.push(AcceptedWork {
            time: self.now,
            upstream: call.to.clone(),
            request: call.request.clone(),
            key: call.key.clone(),
            is_run,
        });
        if call.poison {
            let to = call.to.clone();
            self.schedule(POISON_CRASH_DELAY, move |sim| sim.kill_engine(&to));
        }
    }

    /// Starts a prefill that has arrived at its engine.
    pub fn prefill(&mut self, call: Call) {
        let Some(engine) = self.engines.get_mut(&call.to) else {
            return;
        };
        if engine.is_cancelled(self.now, call.id) {
            return self.reply(&call, Reply::Cancelled);
        }
        if engine.prefills.len() >= MAX_PREFILLS {
            return self.reply(&call, Reply::Full);
        }
        let held = HeldCall {
            call: call.clone(),
            silent: false,
            source: None,
        };
        engine.prefills.insert(call.id, held);
        let generation = engine.generation;
        self.accept_work(&call, true);
        let duration = Duration::from_secs_f64(f64::from(call.prompt) / PREFILL_TOKENS_PER_SECOND);
        self.schedule(duration, move |sim| sim.prefill_done(&call, generation));
    }

    /// Completes a prefill: reports it to the entry VM and schedules the eviction of its result.
    fn prefill_done(&mut self, call: &Call, generation: u32) {
        let Some(engine) = self
            .engines
            .get(&call.to)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        let Some(held) = engine.prefills.get(&call.id) else {
            return;
        };
        let service = engine.service.clone();
        if !held.silent {
            let done = PrefillUsage {
                prompt_tokens: call.prompt,
                cached_tokens: 0,
            };
            self.reply(call, Reply::Prefilled(done));
        }
        let prefix = coord::hash::hash64(call.body.as_bytes());
        self.cache_event(&call.to, &service, CacheEvent::Stored(prefix));
        let (to, id) = (call.to.clone(), call.id);
        self.schedule(PREFILL_RESULT_TTL, move |sim| {
            let engine = sim
                .engines
                .get_mut(&to)
                .filter(|e| e.generation == generation);
            engine.and_then(|engine| engine.prefills.remove(&id));
        });
    }

    /// Starts a decode that has arrived at its engine; `source` holds its KV cache.
    pub fn decode(&mut self, call: Call, source: (Upstream, CallId)) {
        let Some(engine) = self.engines.get(&call.to) else {
            return;
        };
        if engine.is_cancelled(self.now, call.id) {
            return self.reply(&call, Reply::Cancelled);
        }
        if engine.streams.len() >= engine.slots {
            return self.reply(&call, Reply::Full);
        }
        let from = self.engines.get(&source.0).filter(|engine| engine.up);
        if !from.is_some_and(|engine| engine.prefills.contains_key(&source.1)) {
            return self.reply(&call, Reply::Evicted);
        }
        let (stalled, generation) = (engine.stalled, engine.generation);
        self.accept_work(&call, false);
        let held = HeldCall {
            call: call.clone(),
            silent: false,
            source: Some(source),
        };
        if let Some(engine) = self.engines.get_mut(&call.to) {
            engine.streams.insert(call.id, held);
        }
        if !stalled {
            let duration = f64::from(call.prompt) * KV_BYTES_PER_TOKEN / LINK_BYTES_PER_SECOND;
            let first = call.offset;
            self.schedule(Duration::from_secs_f64(duration), move |sim| {
                sim.emit_next(&call, generation, first);
            });
        }
    }

    /// Sends token `index` of a stream and schedules the next one.
    fn emit_next(&mut self, call: &Call, generation: u32, index: u32) {
        let Some(engine) = self
            .engines
            .get_mut(&call.to)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        let step = engine.step;
        let repeat_tokens = engine.faults.repeat_tokens;
        let skip_next = std::mem::take(&mut engine.faults.skip_next);
        let Some(held) = engine.streams.get_mut(&call.id) else {
            return;
        };
        let (silent, source) = (held.silent, held.source.take());
        if index >= call.tokens {
            engine.streams.remove(&call.id);
            if !silent {
                self.reply(call, Reply::Finish);
            }
            return;
        }
        if let Some((from, id)) = source
            && let Some(engine) = self.engines.get_mut(&from)
        {
            engine.prefills.remove(&id);
        }
        if !silent && !skip_next {
            for _ in 0..=u32::from(repeat_tokens) {
                self.reply(call, Reply::Token(index, answer_token(&call.body, index)));
            }
        }
        let call = call.clone();
        self.schedule(step, move |sim| sim.emit_next(&call, generation, index + 1));
    }

    /// Starts a plain call that has arrived at its upstream.
    pub fn start_plain_call(&mut self, call: Call) {
        let Some(engine) = self.engines.get(&call.to) else {
            return;
        };
        let (generation, call_time) = (engine.generation, engine.call_time);
        self.accept_work(&call, true);
        let held = HeldCall {
            call: call.clone(),
            silent: false,
            source: None,
        };
        if let Some(engine) = self.engines.get_mut(&call.to) {
            engine.streams.insert(call.id, held);
        }
        self.schedule(call_time, move |sim| {
            let Some(engine) = sim
                .engines
                .get_mut(&call.to)
                .filter(|e| e.generation == generation)
            else {
                return;
            };
            if engine
                .streams
                .remove(&call.id)
                .is_some_and(|held| !held.silent)
            {
                sim.reply(&call, Reply::Token(0, answer_token(&call.body, 0)));
                sim.reply(&call, Reply::Finish);
            }
        });
    }
}
