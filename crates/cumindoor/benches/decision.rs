//! Duration of one scheduling decision with 64 engines and 42,000 organisations that have waiting
//! jobs.
//!
//! The target is 20 µs for each decision (`docs/design.md`, section 2).

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use coord::hash::hash64;
use coord::name::VmName;
use coord::sched::{
    Action, Attempt, Class, Engine, Job, JobId, PrefillUsage, Role, SchedOptions, Scheduler,
};
use coord::time::Time;
use criterion::{Criterion, criterion_group, criterion_main};

const ORGANISATIONS: u64 = 42_000;
const ENGINES: usize = 64;
const PROMPT_TOKENS: u32 = 16_000;

/// Virtual time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(500);

/// A cell under full load whose engines complete each call at once.
struct Cell {
    scheduler: Scheduler,
    now: Time,
    next_number: u64,
    prefills: VecDeque<(JobId, Attempt)>,
    streams: VecDeque<(JobId, Attempt)>,
}

impl Cell {
    fn new() -> Self {
        let options = SchedOptions {
            queue_limit: 1_000_000,
            cache_blocks: 600,
            link_rate: 1_000_000_000_000,
            ..SchedOptions::default()
        };
        let mut scheduler = Scheduler::new(options, 1);
        for index in 0..ENGINES {
            let prefill = index % 2 == 0;
            let engine = Engine {
                name: format!("engine-{index}").into(),
                data_centre: format!("dc-{}", index % 8).into(),
                role: if prefill { Role::Prefill } else { Role::Decode },
                slots: if prefill { 0 } else { 20 },
            };
            scheduler.engine_up(Time::ZERO, engine);
        }
        let mut cell = Self {
            scheduler,
            now: Time::ZERO,
            next_number: 0,
            prefills: VecDeque::new(),
            streams: VecDeque::new(),
        };
        for _ in 0..ORGANISATIONS {
            cell.submit();
        }
        cell
    }

    fn submit(&mut self) {
        let vm: VmName = "vm-1".into();
        let number = self.next_number;
        self.next_number += 1;
        let block = |i: u64| {
            let group = if i < 8 { number % 200 } else { number };
            hash64(&[group.to_le_bytes(), i.to_le_bytes()].concat())
        };
        let job = Job {
            id: JobId::new(&vm, u128::from(number)),
            vm,
            organisation: format!("org-{}", number % ORGANISATIONS).into(),
            service: "svc".into(),
            class: [Class::Interactive, Class::Patient][(number % 2) as usize],
            deadline: self.now + Duration::from_hours(24),
            token_target: Duration::from_millis(26),
            prompt_tokens: PROMPT_TOKENS,
            max_tokens: 500,
            prefix: (0..16).map(block).collect(),
            fingerprint: u128::from(number),
            once: false,
            offset: 0,
            suspect: false,
        };
        let actions = self.scheduler.submit(self.now, job);
        self.queue_calls(actions);
    }

    fn queue_calls(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartPrefill { id, attempt, .. } => self.prefills.push_back((id, attempt)),
                Action::StartDecode { id, attempt, .. } => self.streams.push_back((id, attempt)),
                Action::Refuse { .. } | Action::Cancel { .. } => {}
            }
        }
    }

    /// Runs the scheduler calls of one request: four calls, two of which start work.
    fn request(&mut self) {
        self.now = self.now + REQUEST_INTERVAL;
        self.submit();
        if let Some((id, attempt)) = self.prefills.pop_front() {
            let done = PrefillUsage {
                prompt_tokens: PROMPT_TOKENS,
                cached_tokens: 8_000,
            };
            let actions = self.scheduler.prefill_done(self.now, id, attempt, done);
            self.queue_calls(actions);
        }
        if let Some((id, attempt)) = self.streams.pop_front() {
            let actions = self.scheduler.decode_started(self.now, id, attempt);
            self.queue_calls(actions);
            let actions = self.scheduler.decode_finished(self.now, id, attempt);
            self.queue_calls(actions);
        }
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut cell = Cell::new();
    for _ in 0..10_000 {
        cell.request();
    }
    criterion.bench_function(
        "request: submit, prefill_done, decode_started, finished",
        |b| {
            b.iter(|| cell.request());
        },
    );
    criterion.bench_function("tick", |b| {
        b.iter(|| {
            let actions = cell.scheduler.tick(cell.now);
            cell.queue_calls(black_box(actions));
        });
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
