//! Gateway processes and requests with a part in their prompts that crashes engines.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
#[expect(
    dead_code,
    reason = "the tests of crashing requests use the other parts of this module"
)]
mod fleet;

#[path = "../../../platform/tests/support/parts.rs"]
mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet::Fleet;
use parts::{Answer, BAD_PART, Break, Ledger, PartEngine, Prompt, Step, send};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// The `stable-window-ms` of the rules.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which a part is known to crash engines.
const CRASHES: usize = 5;
/// Requests with the part that may reach engines later than the window after these crashes.
const ALLOWED_ARRIVALS: usize = 3;
/// Sound requests of each side without which the rule on lost ones does not apply.
const LEAST_SOUND: usize = 20;
/// Sound requests per second, divided among the first parts.
const SOUND_RATE: u32 = 60;
/// Time for which sound requests are sent before anything crashes, and after the window.
const SOUND_TIME: Duration = Duration::from_millis(1800);
/// Time after the fifth crash until which the rules are checked.
const RULED_TIME: Duration = Duration::from_millis(7_800);
/// First parts of the sound requests.
const FIRST_PARTS: [&str; 2] = ["a1", "a2"];
/// Middle parts, which stand for sessions; requests of all callers and kinds share them.
const MIDDLE_PARTS: u32 = 6;
const PREFILL_ENGINES: usize = 3;
/// Callers, which send sound and bad requests alike.
const CALLERS: u32 = 4;
/// Longest time for which bad requests are sent.
const LONGEST_CASE: Duration = Duration::from_mins(1);
/// The target latency of the routes; a refusal that takes longer was not made at once.
const TARGET_LATENCY_MS: u64 = 500;

/// Place of the part that crashes engines among the parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    First,
    Second,
    /// The last but one of four.
    Third,
}

/// What happens in a test.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u8,
    path: &'static str,
    /// Whether there are prefill engines.
    staged: bool,
    engines: usize,
    fails: Break,
    place: Place,
    /// Number of parts that crash engines.
    bad: usize,
    /// Requests with each of them per second.
    rate: u32,
    /// Requests with each of them that are sent at once at the beginning.
    burst: u32,
    /// Times that a caller sends a bad request again which fails and is not refused.
    repeats: usize,
}

const CASE: Case = Case {
    gateways: 8,
    path: "/stream/x",
    staged: true,
    engines: 16,
    fails: Break::Reset,
    place: Place::Second,
    bad: 1,
    rate: 4,
    burst: 0,
    repeats: 0,
};

/// A fleet under load.
struct Load {
    case: Case,
    fleet: Fleet,
    engines: Vec<PartEngine>,
    ledger: Ledger,
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    senders: JoinSet<Vec<(Prompt, Answer)>>,
    end: CancellationToken,
}

impl Load {
    /// Starts gateways, engines and the callers of sound requests.
    async fn start(case: Case) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let fleet = Fleet::spawn(program, directory, case.gateways).await;
        let ledger = Ledger::default();
        let mut engines = Vec::new();
        let prefills = if case.staged { PREFILL_ENGINES } else { 0 };
        for number in 0..case.engines + prefills {
            let kind = match case.path {
                "/safe/x" => ("plain", ""),
                _ if number < prefills => ("model", "prefill"),
                _ => ("model", "decode"),
            };
            let engine = PartEngine::spawn((&fleet.store, &ledger), number, kind, case.fails);
            engines.push(engine.await);
        }
        let addrs = fleet.gateways.iter().map(|g| g.callers).collect();
        let mut load = Self {
            case,
            fleet,
            engines,
            ledger,
            addrs: Arc::new(Mutex::new(addrs)),
            senders: JoinSet::new(),
            end: CancellationToken::new(),
        };
        load.wait_until_ready().await;
        load.spawn_sound();
        sleep(SOUND_TIME).await;
        load
    }

    /// Waits until a request is answered through each gateway, so that all know routes and engines.
    async fn wait_until_ready(&self) {
        let addrs = self.addrs.lock().unwrap().clone();
        let ready = addrs.into_iter().map(async |addr| {
            while send(addr, &sound_prompt(self.case.path, 0)).await.status != 200 {
                sleep(Duration::from_millis(20)).await;
            }
        });
        let ready = futures::future::join_all(ready);
        timeout(Duration::from_mins(1), ready).await.unwrap();
    }

    fn spawn_sound(&mut self) {
        let path = self.case.path;
        self.spawn_sender((SOUND_RATE, 0, 0), move |number| sound_prompt(path, number));
    }

    fn spawn_bad(&mut self) {
        let case = self.case;
        for bad in 0..case.bad {
            let rate = (case.rate, case.burst, case.repeats);
            self.spawn_sender(rate, move |number| bad_prompt(case, bad, number));
        }
    }

    /// Sends `burst` prompts at once and then `rate` per second, in turn through all gateways. Those that
    /// fail are sent again up to `repeats` times through other gateways.
    fn spawn_sender(
        &mut self,
        (rate, burst, repeats): (u32, u32, usize),
        prompt: impl Fn(u32) -> Prompt + Send + 'static,
    ) {
        let (addrs, end) = (Arc::clone(&self.addrs), self.end.clone());
        self.senders.spawn(async move {
            let mut requests = JoinSet::new();
            let mut ticks = interval(Duration::from_secs(1) / rate);
            for number in 0.. {
                if number >= burst && end.run_until_cancelled(ticks.tick()).await.is_none() {
                    break;
                }
                let prompt = prompt(number);
                let addrs = addrs.lock().unwrap().clone();
                requests.spawn(async move {
                    let mut answers = Vec::new();
                    for attempt in 0..=repeats {
                        let addr = addrs[(number as usize + attempt) % addrs.len()];
                        answers.push((prompt.clone(), send(addr, &prompt).await));
                        if answers[attempt].1.is_final() {
                            break;
                        }
                    }
                    answers
                });
            }
            requests.join_all().await.into_iter().flatten().collect()
        });
    }

    /// Returns the parts that crash engines.
    fn bad_parts(&self) -> Vec<String> {
        (0..self.case.bad).map(bad_part).collect()
    }

    /// Returns when the last part crashed its fifth engine, or the last one so far.
    fn known_at(&self) -> Option<Instant> {
        let parts = self.bad_parts();
        let at = parts.iter().map(|part| {
            let crashes = self.ledger.crashes(part);
            crashes.into_iter().take(CRASHES).next_back()
        });
        at.max().flatten()
    }

    /// Lets the load go on for `time` after each part has crashed five engines, or the last one if there
    /// are fewer, and after `since`. Returns that moment.
    async fn run_past(&self, since: Instant, time: Duration) -> Instant {
        let latest = Instant::now() + LONGEST_CASE;
        loop {
            let known = self.known_at().map_or(since, |known| known.max(since));
            let end = (known + time).min(latest);
            if Instant::now() >= end {
                return known;
            }
            sleep_until(end).await;
        }
    }

    /// Kills all gateways and starts them anew. Returns when the last one had started.
    fn restart_all(&mut self) -> Instant {
        for number in 0..self.case.gateways {
            self.fleet.restart(number);
            let index = usize::from(number);
            self.addrs.lock().unwrap()[index] = self.fleet.gateways[index].callers;
        }
        Instant::now()
    }

    /// Ends the load and returns all answers with their prompts.
    async fn stop(&mut self) -> Vec<(Prompt, Answer)> {
        self.end.cancel();
        let senders = std::mem::take(&mut self.senders);
        senders.join_all().await.into_iter().flatten().collect()
    }

    /// Returns how the rule on requests with a bad part that reach engines is broken. Those sent before
    /// `in_touch` do not count.
    fn check_arrivals(&self, in_touch: Option<Instant>) -> Option<String> {
        let mut counted = BTreeMap::new();
        for part in self.bad_parts() {
            let crashes = self.ledger.crashes(&part);
            let entries = self.ledger.entries();
            let arrivals = entries
                .iter()
                .filter(|e| e.bad == part && matches!(e.step, Step::Prefill | Step::Run));
            let fifth = crashes.get(CRASHES - 1);
            let from = fifth.map(|fifth| (*fifth + STABLE_WINDOW).max(in_touch.unwrap_or(*fifth)));
            let late: Vec<&str> = arrivals
                .clone()
                .filter(|arrival| from.is_some_and(|from| arrival.at > from))
                .map(|arrival| &*arrival.id)
                .collect();
            let requests: BTreeSet<&str> = late.iter().copied().collect();
            println!(
                "{part}: {} crashes, {} arrivals, later {} of {} requests",
                crashes.len(),
                arrivals.count(),
                late.len(),
                requests.len()
            );
            counted.insert(part, requests.len());
        }
        let kept = counted.values().all(|count| *count <= ALLOWED_ARRIVALS);
        (!kept).then(|| format!("requests that reached engines by bad part: {counted:?}"))
    }

    /// Returns how the rule is broken by which sound requests of each first part begin at least half as
    /// often from `later` on as before the first crash.
    fn check_sound(&self, answers: &[(Prompt, Answer)], later: Instant) -> Option<String> {
        let entries = self.ledger.entries();
        let started = entries.iter().filter(|e| e.step == Step::Begun);
        let started: BTreeSet<&str> = started.map(|e| &*e.id).collect();
        let crash = entries.iter().find(|e| e.step == Step::Crash);
        let first_crash = crash.expect("no engine crashed").at;
        let mut shares = BTreeMap::new();
        for first in FIRST_PARTS {
            let of_part = answers
                .iter()
                .filter(|(prompt, _)| prompt.parts[0] == first);
            let of_part = of_part.filter(|(prompt, _)| is_sound(prompt));
            let share = |from: Option<Instant>, to: Option<Instant>| {
                let sent = of_part.clone().filter(|(_, answer)| {
                    from.is_none_or(|from| answer.sent >= from)
                        && to.is_none_or(|to| answer.sent < to)
                });
                let begin = sent
                    .clone()
                    .filter(|(_, a)| started.contains(&*a.id))
                    .count();
                (begin, sent.count())
            };
            let before = share(None, Some(first_crash - Duration::from_millis(500)));
            shares.insert(first, (before, share(Some(later), None)));
        }
        println!("begun and sent by first part, before and later: {shares:?}");
        let enough = |(before, after): &((usize, usize), (usize, usize))| {
            assert!(before.1.min(after.1) >= LEAST_SOUND, "{shares:?}");
            after.0 * before.1 * 2 >= before.0 * after.1
        };
        let kept = shares.values().all(enough);
        (!kept).then(|| format!("sound requests begun and sent: {shares:?}"))
    }

    /// Returns whether refusals of crashing requests that were sent from `known` on were held, or
    /// whether any do not say when to return.
    fn check_refusals(&self, answers: &[(Prompt, Answer)], known: Instant) -> Option<String> {
        let refused = answers.iter().filter(|(_, answer)| answer.is_poison());
        let unnamed = refused.clone().filter(|(_, a)| a.retry_after.is_none());
        let unnamed = unnamed.count();
        let later = refused.filter(|(_, answer)| answer.sent >= known);
        let later: BTreeSet<&str> = later.map(|(_, answer)| &*answer.id).collect();
        let mut lines = self.fleet.events("request refused");
        lines.retain(|line| later.contains(line["id"].as_str().unwrap()));
        let at_once = |line: &&serde_json::Value| {
            let ms = line["ms"].as_u64().unwrap();
            ms < TARGET_LATENCY_MS
        };
        let at_once = lines.iter().filter(at_once).count();
        let summary = format!(
            "{at_once} of {} refusals at once, {unnamed} without `retry-after`",
            lines.len()
        );
        println!("{summary}");
        let kept = unnamed == 0 && at_once * 10 >= lines.len() * 9;
        (!kept).then_some(summary)
    }
}

fn bad_part(number: usize) -> String {
    format!("{BAD_PART}{number:05}")
}

fn is_sound(prompt: &Prompt) -> bool {
    !prompt.parts.iter().any(|part| part.starts_with(BAD_PART))
}

fn middle_part(number: u32) -> String {
    format!("b{}", number % MIDDLE_PARTS)
}

fn caller(number: u32) -> u8 {
    u8::try_from(1 + number % CALLERS).unwrap()
}

fn sound_prompt(path: &'static str, number: u32) -> Prompt {
    let first = FIRST_PARTS[number as usize % FIRST_PARTS.len()];
    let last = format!("c{number:07x}");
    Prompt {
        path,
        parts: vec![first.to_owned(), middle_part(number / 2), last],
        caller: caller(number),
    }
}

/// Returns a prompt with a bad part, whose other shared parts are those of sound ones.
fn bad_prompt(case: Case, bad: usize, number: u32) -> Prompt {
    let (bad, first) = (bad_part(bad), FIRST_PARTS[0].to_owned());
    let (middle, last) = (middle_part(number), format!("d{number:07x}"));
    let parts = match case.place {
        Place::First => vec![bad, middle, last],
        Place::Second => vec![first, bad, last],
        Place::Third => vec![first, middle, bad, last],
    };
    Prompt {
        path: case.path,
        parts,
        caller: caller(number),
    }
}

/// Prints how many requests were refused as crashing ones, and for how long.
fn print_refused(answers: &[(Prompt, Answer)], since: Instant) {
    let refused = |sound: bool| {
        let of_kind = answers
            .iter()
            .filter(|(p, a)| is_sound(p) == sound && a.is_poison());
        let mut times: Vec<Duration> = of_kind
            .map(|(_, a)| a.sent.saturating_duration_since(since))
            .collect();
        times.sort();
        (times.len(), times.first().copied(), times.last().copied())
    };
    println!(
        "poison refusals, the first and the last after the start of the count: bad {:?}, sound {:?}",
        refused(false),
        refused(true)
    );
    let mut statuses: BTreeMap<(bool, u16), usize> = BTreeMap::new();
    for (prompt, answer) in answers {
        *statuses
            .entry((is_sound(prompt), answer.status))
            .or_default() += 1;
    }
    println!("answers by soundness and status: {statuses:?}");
}

#[rstest]
#[case::first_reset(Case { place: Place::First, ..CASE })]
#[case::first_event(Case { place: Place::First, fails: Break::Event, rate: 12, ..CASE })]
#[case::first_unstaged_dark(Case { place: Place::First, fails: Break::Dark, staged: false, engines: 24, ..CASE })]
#[case::second_reset(CASE)]
#[case::second_dark(Case { fails: Break::Dark, engines: 24, ..CASE })]
#[case::second_head(Case { fails: Break::Head, ..CASE })]
#[case::second_event(Case { fails: Break::Event, ..CASE })]
#[case::resumed_event(Case { fails: Break::Event, path: "/resume/x", ..CASE })]
#[case::fast_reset(Case { rate: 12, ..CASE })]
#[case::fast_head(Case { fails: Break::Head, rate: 12, ..CASE })]
#[case::plain_reset(Case { path: "/safe/x", staged: false, ..CASE })]
#[case::unstaged_reset(Case { staged: false, ..CASE })]
#[case::unstaged_head_three_gateways(Case { staged: false, fails: Break::Head, gateways: 3, ..CASE })]
#[case::third_event(Case { place: Place::Third, fails: Break::Event, rate: 12, ..CASE })]
#[case::third_three_gateways(Case { place: Place::Third, gateways: 3, ..CASE })]
#[case::two_parts(Case { bad: 2, engines: 24, ..CASE })]
#[case::burst_reset(Case { burst: 12, engines: 24, ..CASE })]
#[case::burst_head(Case { burst: 20, engines: 30, fails: Break::Head, rate: 12, ..CASE })]
#[case::sixty_gateways(Case { gateways: 60, rate: 12, engines: 24, ..CASE })]
#[case::repeated(Case { repeats: 2, path: "/resume/x", ..CASE })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_a_part_that_crashes_engines_do_not_reach_engines_on_and_on(
    #[case] case: Case,
) {
    let mut load = Load::start(case).await;

    load.spawn_bad();
    let known = load.run_past(Instant::now(), RULED_TIME).await;
    let answers = load.stop().await;

    print_refused(&answers, known);
    let broken = [
        load.check_arrivals(None),
        load.check_sound(&answers, known + 2 * STABLE_WINDOW),
        load.check_refusals(&answers, known + STABLE_WINDOW),
    ];
    assert_eq!(broken, [const { None }; 3]);
}

#[rstest]
#[case::second(CASE)]
#[case::first_fast(Case { place: Place::First, rate: 12, ..CASE })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_gateways_do_not_send_a_part_that_crashes_engines_on_and_on(#[case] case: Case) {
    let mut load = Load::start(case).await;
    load.spawn_bad();
    load.run_past(Instant::now(), STABLE_WINDOW).await;

    let started = load.restart_all();
    let known = load.run_past(started, RULED_TIME).await;
    let answers = load.stop().await;

    print_refused(&answers, known);
    let broken = [
        load.check_arrivals(Some(started + STABLE_WINDOW)),
        load.check_sound(&answers, known + 2 * STABLE_WINDOW),
        load.check_refusals(&answers, known + STABLE_WINDOW),
    ];
    assert_eq!(broken, [const { None }; 3]);
}

#[rstest]
#[case::reset(Break::Reset)]
#[case::dark(Break::Dark)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_without_a_bad_part_refuse_no_sound_requests_for_long(#[case] fails: Break) {
    const WAVES: usize = 12;
    let mut load = Load::start(Case { fails, ..CASE }).await;

    let engines = &load.engines[PREFILL_ENGINES..];
    for engine in engines.iter().take(WAVES) {
        engine.crash("", "");
        sleep(Duration::from_millis(300)).await;
    }
    let later = Instant::now() + 2 * STABLE_WINDOW;
    sleep_until(later + SOUND_TIME).await;
    let answers = load.stop().await;

    let crashes = load.ledger.crashes("");
    print_refused(&answers, crashes[0]);
    assert_eq!(load.check_sound(&answers, later), None);
    let refused = answers.iter().filter(|(_, a)| a.is_poison());
    let late = refused.filter(|(_, a)| a.sent >= later).count();
    assert_eq!(late, 0, "sound requests are still refused");
}
