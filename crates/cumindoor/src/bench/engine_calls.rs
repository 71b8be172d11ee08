//! Engine calls, engine failures and the failover of a cell's owner in the simulation.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, JobId, PrefillUsage, Stage};
use coord::time::Time;

use super::arrivals::request_index;
use super::case::KV_BYTES_PER_TOKEN;
use super::fake_engine::{Prefill, RESULT_TTL, Stream};
use super::router::Input;
use super::sim::{CALLER_LATENCY, ENGINE_LIST_DELAY, Event, Sim, VM_LATENCY};

/// Number of the VM that owns the cells in the fault `vm-dies`.
pub(super) const OWNER_VM: u32 = 0;

impl Sim<'_> {
    /// Sends the result of an engine call to the cell's owner.
    fn answer(&mut self, engine: usize, input: Input) {
        let cell = self.engines[engine].cell;
        self.schedule_after(VM_LATENCY, Event::RouterInput(cell, input));
    }

    pub(super) fn call_engine(&mut self, action: Action) {
        match action {
            Action::StartPrefill {
                id,
                attempt,
                prefill,
                ..
            } => {
                let engine = self.engine_indices[&prefill];
                self.start_prefill(engine, id, attempt);
            }
            Action::StartDecode {
                id,
                attempt,
                decode,
                source,
            } => {
                let (source, decode) = (self.engine_indices[&source], self.engine_indices[&decode]);
                self.start_decode(source, decode, id, attempt);
            }
            Action::Cancel { id, upstream } => self.cancel(&upstream, id),
            Action::Refuse { .. } => {}
        }
    }

    fn start_prefill(&mut self, engine: usize, id: JobId, attempt: Attempt) {
        if self.records[request_index(id)].abandoned {
            return;
        }
        let fake = &mut self.engines[engine];
        if !fake.alive {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Lost));
        } else if fake.accept(id, attempt) {
            self.start_next_prefill(engine);
        } else {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Full));
        }
    }

    fn start_next_prefill(&mut self, engine: usize) {
        let fake = &mut self.engines[engine];
        if fake.running.is_some() {
            return;
        }
        let Some((id, attempt)) = fake.waiting.pop_front() else {
            return;
        };
        let request = &self.requests[request_index(id)];
        let prompt_tokens =
            request.prompt_tokens + self.records[request_index(id)].delivered_tokens;
        let cached_blocks = fake.cache.matched(&request.prefix);
        let cached_tokens = cached_blocks * self.case.cells[request.cell].options.block_tokens;
        let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
        let duration = fake.begin_prefill(uncached_tokens, request.prefill_factor);
        fake.running = Some(Prefill {
            id,
            attempt,
            began: self.now,
            duration,
            prompt_tokens,
            uncached_tokens,
        });
        let epoch = fake.epoch;
        self.schedule_after(duration, Event::PrefillEnd(engine, epoch, id, attempt));
    }

    pub(super) fn prefill_end(&mut self, engine: usize, epoch: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        let running = fake.running.filter(|p| p.id == id && p.attempt == attempt);
        let (Some(done), true) = (running, fake.epoch == epoch) else {
            return;
        };
        fake.running = None;
        let expires = self.now + RESULT_TTL;
        fake.results.insert(id, expires);
        let events = fake.cache.store(&self.requests[request_index(id)].prefix);
        self.publish(engine, events);
        self.schedule_after(RESULT_TTL, Event::Evict(engine, epoch, id, expires));
        let record = &mut self.records[request_index(id)];
        let cached_tokens = done.prompt_tokens - done.uncached_tokens;
        record.prompt_tokens += u64::from(done.prompt_tokens);
        record.cached_tokens += u64::from(cached_tokens);
        record.wasted_tokens +=
            std::mem::replace(&mut record.pending_tokens, u64::from(done.uncached_tokens));
        record.prefills += 1;
        let result = PrefillUsage {
            prompt_tokens: done.prompt_tokens,
            cached_tokens,
        };
        self.answer(engine, Input::PrefillDone(id, attempt, result));
        self.start_next_prefill(engine);
    }

    fn start_decode(&mut self, source: usize, decode: usize, id: JobId, attempt: Attempt) {
        if self.records[request_index(id)].abandoned {
            return;
        }
        let expires = self.engines[source].results.get(&id).copied();
        let fake = &self.engines[decode];
        let failure = match expires {
            _ if !fake.alive || !self.engines[source].alive => Some(Failure::Lost),
            None => Some(Failure::Evicted),
            Some(_) if !fake.has_slot() => Some(Failure::Full),
            Some(_) => None,
        };
        if let Some(failure) = failure {
            self.answer(decode, Input::DecodeFailed(id, attempt, failure, 0));
            return;
        }
        let index = request_index(id);
        let request = &self.requests[index];
        let stream = Stream {
            attempt,
            began: self.now,
            step_time: fake.step_time(request.step_factor),
            tokens: request
                .output_tokens
                .saturating_sub(self.records[index].delivered_tokens)
                .max(1),
            delay: Duration::ZERO,
            started: false,
        };
        let epoch = fake.epoch;
        self.engines[decode].streams.insert(id, stream);
        let end = self.transfer(source, decode, request.prompt_tokens);
        let expires = expires.unwrap_or(end);
        if end <= expires {
            self.schedule_at(end, Event::ImportEnd(source, decode, epoch, id, attempt));
        } else {
            self.schedule_at(expires, Event::ImportFail(decode, epoch, id, attempt));
        }
    }

    /// Reserves the outgoing link of the source's data centre for a KV cache transfer, in order of
    /// arrival, and returns the end of the transfer.
    fn transfer(&mut self, source: usize, decode: usize, prompt_tokens: u32) -> Time {
        if source == decode {
            return self.now;
        }
        let seconds = (u64::from(prompt_tokens) * KV_BYTES_PER_TOKEN) as f64 / self.case.link_rate;
        let free_at = &mut self.link_free[self.engines[source].centre];
        *free_at = (*free_at).max(self.now) + Duration::from_secs_f64(seconds);
        *free_at
    }

    pub(super) fn import_end(
        &mut self,
        source: usize,
        engine: usize,
        epoch: u32,
        id: JobId,
        attempt: Attempt,
    ) {
        let fake = &mut self.engines[engine];
        let Some(stream) = fake.streams.get_mut(&id).filter(|s| s.attempt == attempt) else {
            return;
        };
        stream.started = true;
        stream.began = self.now + stream.step_time;
        let end = stream.began + stream.step_time * (stream.tokens - 1);
        let first_token = stream.began + CALLER_LATENCY;
        self.engines[source].results.remove(&id);
        let record = &mut self.records[request_index(id)];
        record.first_token = record.first_token.or(Some(first_token));
        record.used_tokens += std::mem::take(&mut record.pending_tokens);
        self.schedule_at(end, Event::StreamEnd(engine, epoch, id, attempt));
        self.answer(engine, Input::DecodeStarted(id, attempt));
    }

    pub(super) fn import_fail(&mut self, engine: usize, epoch: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        if fake.epoch == epoch && fake.streams.get(&id).is_some_and(|s| s.attempt == attempt) {
            fake.streams.remove(&id);
            self.answer(
                engine,
                Input::DecodeFailed(id, attempt, Failure::Evicted, 0),
            );
        }
    }

    pub(super) fn stream_end(&mut self, engine: usize, epoch: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        let Some(stream) = fake.streams.get_mut(&id).filter(|s| s.attempt == attempt) else {
            return;
        };
        let delay = std::mem::take(&mut stream.delay);
        if !delay.is_zero() {
            self.schedule_after(delay, Event::StreamEnd(engine, epoch, id, attempt));
            return;
        }
        fake.streams.remove(&id);
        let record = &mut self.records[request_index(id)];
        record.delivered_tokens = self.requests[request_index(id)].output_tokens;
        if !record.closed {
            record.end = Some(self.now + CALLER_LATENCY);
            record.closed = true;
            self.send_next_request();
        }
        self.answer(engine, Input::Finished(id, attempt));
    }

    /// Evicts a prefill result that no decode engine has imported before it expired.
    pub(super) fn evict(&mut self, engine: usize, epoch: u32, id: JobId, expires: Time) {
        let fake = &mut self.engines[engine];
        if fake.epoch == epoch && fake.results.get(&id) == Some(&expires) {
            fake.results.remove(&id);
        }
    }

    fn cancel(&mut self, upstream: &Upstream, id: JobId) {
        let engine = self.engine_indices[upstream];
        let fake = &mut self.engines[engine];
        fake.waiting.retain(|(other, _)| *other != id);
        fake.results.remove(&id);
        fake.streams.remove(&id);
        if let Some(aborted) = fake.running.take_if(|p| p.id == id) {
            let progress =
                self.now.since(aborted.began).as_secs_f64() / aborted.duration.as_secs_f64();
            self.records[request_index(id)].wasted_tokens +=
                (f64::from(aborted.uncached_tokens) * progress) as u64;
        }
        self.start_next_prefill(engine);
    }

    pub(super) fn engine_dies(&mut self, engine: usize) {
        if let Some(aborted) = self.engines[engine].running {
            let progress =
                self.now.since(aborted.began).as_secs_f64() / aborted.duration.as_secs_f64();
            self.records[request_index(aborted.id)].wasted_tokens +=
                (f64::from(aborted.uncached_tokens) * progress) as u64;
        }
        let (prefills, streams) = self.engines[engine].fail();
        for (id, attempt) in prefills {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Lost));
        }
        for (id, stream) in streams {
            let delivered = stream.delivered(self.now);
            self.records[request_index(id)].delivered_tokens += delivered;
            self.answer(
                engine,
                Input::DecodeFailed(id, stream.attempt, Failure::Lost, delivered),
            );
        }
        let name = self.engines[engine].spec.name.clone();
        let cell = self.engines[engine].cell;
        self.schedule_after(
            ENGINE_LIST_DELAY,
            Event::RouterInput(cell, Input::EngineDown(name)),
        );
    }

    pub(super) fn engine_returns(&mut self, engine: usize) {
        self.engines[engine].alive = true;
        let spec = self.engines[engine].spec.clone();
        let cell = self.engines[engine].cell;
        self.schedule_after(
            ENGINE_LIST_DELAY,
            Event::RouterInput(cell, Input::EngineUp(spec)),
        );
    }

    /// Closes the requests that entered at the owner's VM. If a single VM runs the policy, messages
    /// to the cells are deferred until the next owner takes over.
    pub(super) fn owner_dies(&mut self) {
        for index in 0..self.requests.len() {
            let record = &mut self.records[index];
            let sent = record.sent > Time::ZERO && record.sent <= self.now;
            if self.requests[index].vm == OWNER_VM && sent && !record.closed {
                record.abandoned = true;
                record.closed = true;
            }
        }
        if self.single_owner {
            self.deferred = Some(Vec::new());
        }
    }

    /// Reports to all cells that the owner's VM is down. If a single VM runs the policy, the next
    /// owner is started first: entry VMs register their jobs and send the deferred messages.
    pub(super) fn new_owner(&mut self) {
        let deferred = self.deferred.take().unwrap_or_default();
        let mut resubmitted = BTreeSet::new();
        if self.single_owner {
            for cell in 0..self.routers.len() {
                self.routers[cell] = (self.new_router)(cell);
                self.routers[cell].handle(self.now, Input::TakeOver);
            }
            resubmitted = self.register_jobs();
        }
        let vm: VmName = format!("vm-{OWNER_VM}").into();
        for cell in 0..self.routers.len() {
            self.deliver(cell, Input::VmDown(vm.clone()));
        }
        // Results of jobs that were submitted again are dropped, because these jobs start over.
        for (cell, input) in deferred {
            if !input
                .ended_call()
                .is_some_and(|id| resubmitted.contains(&id))
            {
                self.deliver(cell, input);
            }
        }
    }

    /// Registers engines and open jobs with the new owner. Jobs with an active engine call are
    /// resumed; the others are submitted again and returned.
    fn register_jobs(&mut self) -> BTreeSet<JobId> {
        for engine in 0..self.engines.len() {
            if self.engines[engine].alive {
                let (cell, spec) = (self.engines[engine].cell, self.engines[engine].spec.clone());
                self.deliver(cell, Input::EngineUp(spec));
            }
        }
        let mut waiting = Vec::new();
        for index in 0..self.requests.len() {
            let record = &self.records[index];
            if record.closed || record.sent == Time::ZERO || self.requests[index].vm == OWNER_VM {
                continue;
            }
            let mut job = self.requests[index].job(self.case, index, record.sent);
            job.offset = record.delivered_tokens;
            let cell = self.requests[index].cell;
            job.prompt_tokens += record.delivered_tokens;
            match record
                .stage
                .clone()
                .filter(|(_, s)| self.is_active(s, job.id))
            {
                Some((attempt, stage)) => self.deliver(cell, Input::Resume(job, attempt, stage)),
                None => waiting.push((cell, job)),
            }
        }
        let resubmitted = waiting.iter().map(|(_, job)| job.id).collect();
        for (cell, job) in waiting {
            self.deliver(cell, Input::Submit(job));
        }
        resubmitted
    }

    /// Returns true if the engine of a stage still holds work or a result of the job.
    fn is_active(&self, stage: &Stage, id: JobId) -> bool {
        match stage {
            Stage::Prefill { prefill, .. } => {
                let fake = &self.engines[self.engine_indices[prefill]];
                let running = fake.running.is_some_and(|p| p.id == id);
                let waiting = fake.waiting.iter().any(|(other, _)| *other == id);
                running || waiting || fake.results.contains_key(&id)
            }
            Stage::Decode { decode, .. } => {
                let fake = &self.engines[self.engine_indices[decode]];
                fake.streams.contains_key(&id)
            }
        }
    }
}
