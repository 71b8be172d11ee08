//! Gateway processes under disturbances that come in series and overlap, while callers keep their connections.
//!
//! Each seed is one run of random disturbances. CI plays a few; `SOAK_SEEDS=50 cargo nextest run -p cumindoor --test
//! gateway_soak` plays more.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
#[expect(
    dead_code,
    reason = "the tests of rate limits use the other parts of this module"
)]
mod fleet;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use fleet::{Answering, Crash, CrashingEngine, EngineOptions, Fleet};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Cut, Outage, config, events};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Seeds that are played unless `SOAK_SEEDS` says otherwise.
const SEEDS: u64 = 2;
const GATEWAYS: u8 = 5;
const CALLERS: u64 = 12;
/// Disturbances of one run, and the longest time between two of them.
const DISTURBANCES: usize = 30;
const MAX_PAUSE_MS: u64 = 400;
/// Time after which watches are cut in the runs without outages. Changes come often, and a watch that is answered before is not
/// cut.
const CUT_AFTER: Duration = Duration::from_millis(100);
/// Longest outage of the store.
const MAX_OUTAGE_MS: u64 = 1_200;
/// `drain-ms` and `stable-window-ms` of the platform.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after the last disturbance within which all kinds of requests are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);

const PLAIN: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: true,
    work: Duration::from_millis(20),
    downtime: Duration::from_millis(700),
};
const PREFILL: EngineOptions = EngineOptions {
    service: "model",
    stage: "prefill",
    ..PLAIN
};
const DECODE: EngineOptions = EngineOptions {
    stage: "decode",
    work: Duration::from_millis(60),
    ..PREFILL
};
const ENGINES: [(EngineOptions, usize); 3] = [(PLAIN, 5), (PREFILL, 2), (DECODE, 4)];

/// What a request promises its caller.
const PATHS: [&str; 4] = ["/safe/x", "/once/x", "/stream/x", "/resume/x"];

/// What a caller got for a request.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    path: &'static str,
    body: String,
    /// The status and the body as far as it arrived, if there was an answer, and whether it was complete.
    answer: Option<(u16, String, bool)>,
}

impl Outcome {
    fn is_stream(&self) -> bool {
        self.path.starts_with("/stream") || self.path.starts_with("/resume")
    }

    /// Returns whether the request may run once at most.
    fn is_once_only(&self) -> bool {
        self.path.starts_with("/once") || self.path.starts_with("/stream")
    }

    /// Returns what is untrue of the answer itself.
    fn untruth(&self) -> Option<String> {
        let (status, body, complete) = self.answer.as_ref()?;
        let whole = if self.is_stream() {
            events(1, 5)
        } else {
            self.body.clone()
        };
        let is_true = match (status, complete) {
            (200, true) => *body == whole,
            (200, false) => whole.starts_with(body),
            _ => (400..600).contains(status),
        };
        (!is_true).then(|| format!("{} {} got {:?}", self.path, self.id, self.answer))
    }

    /// Returns whether the answer promises that the request did not run and never will.
    fn promises(&self) -> bool {
        let status = self.answer.as_ref().map_or(0, |answer| answer.0);
        matches!(status, 408 | 421 | 429 | 503)
    }
}

/// When an engine left the list, and outages of the store.
#[derive(Default)]
struct Record {
    lapses: Vec<(usize, Instant)>,
    outages: Vec<(Instant, Instant)>,
}

struct World {
    fleet: RwLock<Fleet>,
    engines: Vec<CrashingEngine>,
    outcomes: Mutex<Vec<Outcome>>,
    next: AtomicU64,
    /// Whether the store has no outages, and cuts watches all the time.
    is_store_steady: bool,
}

impl World {
    async fn start(is_store_steady: bool) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let fleet = Fleet::spawn(program, directory, GATEWAYS).await;
        let engines = fleet.start_engines(&ENGINES).await;
        Self {
            fleet: RwLock::new(fleet),
            engines,
            outcomes: Mutex::default(),
            next: AtomicU64::new(0),
            is_store_steady,
        }
    }

    fn address(&self, gateway: usize) -> SocketAddr {
        self.fleet.read().unwrap().gateways[gateway].callers
    }

    /// Sends requests over one connection after the other, each of which is used until it ends.
    async fn call_on(self: Arc<Self>, seed: u64, end: CancellationToken) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while !end.is_cancelled() {
            let gateway = rng.random_range(0..usize::from(GATEWAYS));
            let Some(mut sender) = connect(self.address(gateway)).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            while !end.is_cancelled() {
                let path = PATHS.choose(&mut rng).unwrap();
                let kind = if rng.random_bool(0.01) {
                    fleet::POISON
                } else {
                    "sound"
                };
                let outcome = self.send(&mut sender, path, kind).await;
                let is_over = outcome.answer.as_ref().is_none_or(|answer| !answer.2);
                self.outcomes.lock().unwrap().push(outcome);
                if is_over || sender.is_closed() {
                    break;
                }
                sleep(Duration::from_millis(rng.random_range(0..40))).await;
            }
        }
    }

    async fn send(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        path: &'static str,
        kind: &str,
    ) -> Outcome {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        // A request that crashes engines is the same each time.
        let body = match kind {
            fleet::POISON => kind.to_owned(),
            _ => format!("{kind} {number}"),
        };
        let mut outcome = Outcome {
            id: format!("r-{number}"),
            path,
            body: body.clone(),
            answer: None,
        };
        let request = Request::post(path)
            .header("host", "h.example")
            .header("x-cumindoor-request-id", &outcome.id)
            .header("x-cumindoor-deadline-ms", "5000")
            .header("x-cumindoor-token-usage", "1000,80")
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            let mut body = response.into_body();
            let mut text = Vec::new();
            let complete = loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        text.extend_from_slice(&frame.into_data().unwrap_or_default());
                    }
                    Some(Err(_)) => break false,
                    None => break true,
                }
            };
            let text = String::from_utf8_lossy(&text).into_owned();
            Some((status, text, complete))
        };
        outcome.answer = timeout(PATIENCE, exchange).await.ok().flatten();
        outcome
    }

    /// Returns whether a request of each kind is served through each gateway.
    async fn serves_all(&self) -> bool {
        for gateway in 0..usize::from(GATEWAYS) {
            for path in PATHS {
                let Some(mut sender) = connect(self.address(gateway)).await else {
                    return false;
                };
                let outcome = self.send(&mut sender, path, "sound").await;
                let is_served = outcome.answer.as_ref().is_some_and(|a| a.0 == 200 && a.2);
                self.outcomes.lock().unwrap().push(outcome);
                if !is_served {
                    return false;
                }
            }
        }
        true
    }

    /// Makes one random disturbance, which may go on while others come.
    fn disturb(self: &Arc<Self>, rng: &mut ChaCha8Rng, record: &Arc<Mutex<Record>>) -> String {
        let gateway = rng.random_range(0..GATEWAYS);
        let engine = rng.random_range(0..self.engines.len());
        match rng.random_range(0..12_u32) {
            0 | 1 => {
                self.fleet.write().unwrap().restart(gateway);
                format!("gateway {gateway} is killed")
            }
            2 => {
                self.fleet.write().unwrap().restart_all();
                "all gateways are killed".to_owned()
            }
            3 => {
                self.fleet.read().unwrap().signal(gateway, "TERM");
                let world = Arc::clone(self);
                let after = Duration::from_millis(rng.random_range(50..1_500));
                tokio::spawn(async move {
                    sleep(after).await;
                    world.fleet.write().unwrap().restart(gateway);
                });
                format!("gateway {gateway} is stopped, and killed after {after:?}")
            }
            4 => {
                self.fleet.read().unwrap().signal(gateway, "HUP");
                format!("gateway {gateway} reads its settings")
            }
            5 if !self.is_store_steady => {
                let cut = *[Cut::Closed, Cut::Reset, Cut::Partial].choose(rng).unwrap();
                let after = Duration::from_millis(rng.random_range(100..1_000));
                self.store().cut_watches(Some((cut, after)));
                format!("watches are cut after {after:?}: {cut:?}")
            }
            6 if !self.is_store_steady => {
                self.store().cut_watches(None);
                "watches are cut no more".to_owned()
            }
            // Every other run has none, since an outage excuses much of what comes after it.
            7 if !self.is_store_steady => {
                let outages = [
                    Outage::Silent,
                    Outage::Refusing,
                    Outage::Cutting(Cut::Reset),
                ];
                let outage = *outages.choose(rng).unwrap();
                let time = Duration::from_millis(rng.random_range(50..MAX_OUTAGE_MS));
                let now = Instant::now();
                record.lock().unwrap().outages.push((now, now + time));
                let store = self.store();
                store.set_outage(Some(outage));
                tokio::spawn(async move {
                    sleep(time).await;
                    store.set_outage(None);
                });
                format!("the store is away for {time:?}: {outage:?}")
            }
            8 => {
                let version = 2 + self.next.fetch_add(1, Ordering::Relaxed);
                self.store().put("op/config", &config(version));
                format!("version {version}")
            }
            9 => {
                self.engines[engine].crash(Bytes::new());
                format!("engine {engine} crashes")
            }
            6 | 10 if self.engines[engine].is_up() => {
                record.lock().unwrap().lapses.push((engine, Instant::now()));
                self.engines[engine].lapse();
                // It ends some time later and is back under another name.
                let (world, after) = (Arc::clone(self), Duration::from_millis(3_500));
                tokio::spawn(async move {
                    sleep(after).await;
                    world.engines[engine].crash(Bytes::new());
                });
                format!("engine {engine} leaves the list")
            }
            _ => {
                let ways = [Answering::Refused, Answering::Failed, Answering::Cut];
                let way = *ways.choose(rng).unwrap();
                self.engines[engine].answer_with(way);
                let (world, after) = (Arc::clone(self), Duration::from_millis(600));
                tokio::spawn(async move {
                    sleep(after).await;
                    world.engines[engine].answer_with(Answering::Served);
                });
                format!("engine {engine} is in trouble: {way:?}")
            }
        }
    }

    fn store(&self) -> support::FakeStore {
        self.fleet.read().unwrap().store.clone()
    }

    /// Returns how often each request ran, without prefills.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for engine in self.engines.iter().filter(|engine| !engine.is_prefill()) {
            for arrival in engine.arrivals().into_iter().filter(|arrival| arrival.ran) {
                *runs.entry(arrival.id).or_default() += 1;
            }
        }
        runs
    }

    /// Returns what the callers were told that is not true.
    fn untruths(&self) -> Vec<String> {
        let runs = self.runs();
        let mut found = Vec::new();
        for outcome in self.outcomes.lock().unwrap().iter() {
            found.extend(outcome.untruth());
            let ran = runs.get(&outcome.id).copied().unwrap_or_default();
            if outcome.is_once_only() && ran > 1 {
                found.push(format!("{} {} ran {ran} times", outcome.path, outcome.id));
            }
            if outcome.is_once_only() && outcome.promises() && ran > 0 {
                found.push(format!(
                    "{} {} ran, and got {:?}",
                    outcome.path, outcome.id, outcome.answer
                ));
            }
        }
        found
    }

    /// Returns the requests that reached an engine too late after it had left the list, while the store was stable.
    fn late_arrivals(&self, record: &Record) -> Vec<String> {
        let mut found = Vec::new();
        for (engine, left) in &record.lapses {
            let crashes = self.engines[*engine].crashes();
            // It is back under another name from then on.
            let ended = crashes.iter().map(|crash| crash.at).find(|at| at > left);
            for arrival in self.engines[*engine].arrivals() {
                let is_before_end = ended.is_none_or(|ended| arrival.at < ended);
                let is_late = arrival.at > *left + DRAIN_TIME && is_before_end;
                let is_excused = record
                    .outages
                    .iter()
                    .any(|(from, to)| *from < arrival.at && *left < *to + STABLE_WINDOW);
                if is_late && !is_excused {
                    let late = arrival.at - *left;
                    found.push(format!(
                        "{} reached engine {engine} after {late:?}",
                        arrival.id
                    ));
                }
            }
        }
        found
    }
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Plays one run. Returns what went wrong, and the disturbances for the message.
async fn play(seed: u64) -> (Vec<String>, Vec<String>) {
    let world = Arc::new(World::start(seed.is_multiple_of(2)).await);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end = CancellationToken::new();
    let callers = (0..CALLERS).map(|number| {
        let world = Arc::clone(&world);
        tokio::spawn(world.call_on(seed * CALLERS + number, end.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let record = Arc::new(Mutex::new(Record::default()));
    let started = Instant::now();
    let mut story = Vec::new();
    if world.is_store_steady {
        world.store().cut_watches(Some((Cut::Closed, CUT_AFTER)));
    }

    for _ in 0..DISTURBANCES {
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        let at = started.elapsed();
        story.push(format!("{at:?}: {}", world.disturb(&mut rng, &record)));
    }
    world.store().cut_watches(None);
    // What still goes on ends within this time.
    sleep(Duration::from_millis(3_500)).await;
    let calm = Instant::now();
    while !world.serves_all().await && calm.elapsed() < RECOVERY_TIME {
        sleep(Duration::from_millis(100)).await;
    }
    let recovered = calm.elapsed() < RECOVERY_TIME;
    end.cancel();
    for caller in callers {
        caller.await.unwrap();
    }

    let mut wrong = world.untruths();
    wrong.extend(world.late_arrivals(&record.lock().unwrap()));
    if !recovered {
        wrong.push("not all requests are served again".to_owned());
    }
    let outcomes = world.outcomes.lock().unwrap();
    let served = outcomes
        .iter()
        .filter(|o| o.answer.as_ref().is_some_and(|a| a.0 == 200 && a.2));
    println!(
        "seed {seed}: {} of {} requests served",
        served.count(),
        outcomes.len()
    );
    (wrong, story)
}

/// Guards against answers that are not true, requests that run twice or after a promise, engines that are used after
/// they left, and a fleet that does not recover, when disturbances come in series and overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_under_overlapping_disturbances_tells_the_truth_and_recovers() {
    let seeds = std::env::var("SOAK_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok());
    let mut failed = Vec::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let (wrong, story) = play(seed).await;
        if !wrong.is_empty() {
            println!("seed {seed}: {wrong:#?}\n{story:#?}");
            failed.push(seed);
        }
    }

    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
