use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::*;

fn short_delays(max_failures: usize) -> RestartPolicy {
    RestartPolicy {
        initial_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(2),
        max_failures,
        window: Duration::from_mins(1),
    }
}

fn counting_task(name: &'static str, starts: &Arc<AtomicU32>) -> Spec {
    let starts = Arc::clone(starts);
    Spec::task(name, move || {
        starts.fetch_add(1, Ordering::SeqCst);
        std::future::pending()
    })
}

/// Guards against a task that is not restarted after a panic while its siblings keep running.
#[tokio::test(start_paused = true)]
async fn restarts_the_task_that_panicked() {
    let (first, second) = (Arc::default(), Arc::default());
    let children = vec![
        counting_task("first", &first),
        counting_task("second", &second),
    ];
    let root = Spec::group("root", Strategy::OneForOne, children);
    let (supervisor, mut events) = Supervisor::spawn(root, short_delays(5));

    supervisor.inject_panic("first");
    let event = events.recv().await;
    tokio::time::sleep(Duration::from_millis(1)).await;

    assert_eq!(event, Some(SupervisorEvent::Restarted("first")));
    assert_eq!(first.load(Ordering::SeqCst), 2);
    assert_eq!(second.load(Ordering::SeqCst), 1);
}

/// Guards against siblings that keep running with shared state that a panic left inconsistent.
#[tokio::test(start_paused = true)]
async fn a_panic_restarts_the_whole_group() {
    let (inner, sibling, outside) = (Arc::default(), Arc::default(), Arc::default());
    let children = vec![
        counting_task("inner", &inner),
        counting_task("sibling", &sibling),
    ];
    let group = Spec::group("group", Strategy::OneForAll, children);
    let root = Spec::group(
        "root",
        Strategy::OneForOne,
        vec![group, counting_task("outside", &outside)],
    );
    let (supervisor, mut events) = Supervisor::spawn(root, short_delays(5));

    supervisor.inject_panic("inner");
    let event = events.recv().await;
    tokio::time::sleep(Duration::from_millis(1)).await;

    assert_eq!(event, Some(SupervisorEvent::Restarted("inner")));
    assert_eq!(inner.load(Ordering::SeqCst), 2);
    assert_eq!(sibling.load(Ordering::SeqCst), 2);
    assert_eq!(outside.load(Ordering::SeqCst), 1);
}

/// Guards against unlimited restarts, without any report, of a task that always fails immediately.
#[tokio::test(start_paused = true)]
async fn gives_up_after_the_limit() {
    let failing = Spec::task("failing", || async { Err(eyre::eyre!("no")) });
    let root = Spec::group("root", Strategy::OneForOne, vec![failing]);
    let (supervisor, mut events) = Supervisor::spawn(root, short_delays(2));

    supervisor.failed().await;

    let mut seen = Vec::new();
    while let Ok(event) = events.try_recv() {
        seen.push(event);
    }
    let restarted = SupervisorEvent::Restarted("failing");
    let expected = [
        restarted.clone(),
        restarted,
        SupervisorEvent::GaveUp("failing"),
    ];
    assert_eq!(seen, expected);
}
