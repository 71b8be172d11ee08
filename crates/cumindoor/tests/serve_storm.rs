//! Many concurrent requests while engines crash, restart and produce faulty streams.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, chat_body, expected, wait_until, with_timeout};
use rstest::rstest;
use standin::TokenFault;

const REQUESTS: usize = 150;
const TOKENS: u32 = 120;

/// Guards against wrong, truncated or endless answers when engines crash, are full, or cut and
/// corrupt their streams under many concurrent requests, and against engine memory that stays in
/// use afterwards.
#[rstest]
#[case::deaths(true)]
#[case::cuts(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_answer_is_whole_or_refused(#[case] deaths: bool) {
    let mut options = FleetOptions {
        decodes: 4,
        ..FleetOptions::default()
    };
    options.engine.step = Duration::from_millis(1);
    options.serve.timeouts.probe_after = Duration::from_millis(200);
    let fleet = options.start().await;
    let addr = fleet.server.addr();
    let callers = (0..REQUESTS).map(|number| {
        tokio::spawn(async move {
            let text = format!("storm {number}");
            let body = chat_body(&text, TOKENS, true);
            let answer = common::post(addr, "/v1/chat/completions", &[], body).await;
            (text, answer.events().await)
        })
    });
    let callers: Vec<_> = callers.collect();

    for round in 0..8 {
        let engine = &fleet.decodes[round % 4];
        let before = fleet.counter("request.finished");
        if deaths {
            engine.crash().await;
        } else {
            set_faults(&fleet, round);
        }
        let over = || callers.iter().all(tokio::task::JoinHandle::is_finished);
        let next = || fleet.counter("request.finished") > before + 8 || over();
        wait_until("requests end", next).await;
        engine.restart().await.unwrap();
    }

    for caller in callers {
        let (text, events) = with_timeout("an answer", caller).await.unwrap();
        let wanted = expected(&text, TOKENS);
        if events.done {
            assert_eq!(events.text, wanted);
            assert_eq!(events.error, None);
        } else {
            assert!(events.error.is_some(), "{events:?}");
            assert!(wanted.starts_with(&events.text));
        }
    }
    fleet.nothing_held().await;
    wait_until("the router is idle", || fleet.router_idle()).await;
    clear_faults(&fleet);
    let after = fleet
        .chat("After the storm", TOKENS, true)
        .await
        .events()
        .await;
    assert_eq!(after.text, expected("After the storm", TOKENS));
}

fn clear_faults(fleet: &Fleet) {
    for engine in &fleet.decodes {
        engine.update_faults(|fault| *fault = standin::EngineFaults::default());
    }
}

/// Makes one engine skip, repeat or swap tokens or cut its streams; the others interleave tokens.
fn set_faults(fleet: &Fleet, round: usize) {
    for (number, engine) in fleet.decodes.iter().enumerate() {
        let hit = number == round % 4;
        engine.update_faults(|fault| {
            fault.cut_after = (hit && round.is_multiple_of(2)).then_some(30);
            fault.token_fault = match (hit, round % 4) {
                (true, 1) => TokenFault::Skip(50),
                (true, 3) => TokenFault::Swap(40),
                (true, _) => TokenFault::Repeat(3),
                (false, _) => TokenFault::Interleave(9),
            };
        });
    }
}

/// Guards against answers that are lost because an engine crash interrupts many streams at once.
#[tokio::test]
async fn all_streams_of_a_dead_engine_are_completed() {
    let mut options = FleetOptions::default();
    options.engine.step = Duration::from_millis(5);
    let fleet = options.start().await;
    let addr = fleet.server.addr();
    fleet.decodes[1].update_faults(|fault| fault.reject_all = true);
    fleet.decodes[0].update_faults(|fault| fault.stall_work = true);
    let callers = (0..10).map(|number| {
        tokio::spawn(async move {
            let text = format!("death {number}");
            let body = chat_body(&text, TOKENS, true);
            let answer = common::post(addr, "/v1/chat/completions", &[], body).await;
            (text, answer.events().await)
        })
    });
    let callers: Vec<_> = callers.collect();
    let dying = &fleet.decodes[0];
    wait_until("ten streams wait", || dying.slots_used() == 10).await;
    dying.update_faults(|fault| fault.stall_work = false);
    wait_until("ten streams run", || dying.counts().output_tokens > 50).await;

    dying.crash().await;
    clear_faults(&fleet);

    for caller in callers {
        let (text, events) = with_timeout("an answer", caller).await.unwrap();
        assert_eq!(events.text, expected(&text, TOKENS), "{:?}", events.error);
    }
}
