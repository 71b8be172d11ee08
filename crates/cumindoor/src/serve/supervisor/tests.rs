use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::*;

fn quick(limit: usize) -> Restarts {
    Restarts {
        first_pause: Duration::from_millis(1),
        longest_pause: Duration::from_millis(2),
        limit,
        window: Duration::from_mins(1),
    }
}

fn counted(name: &'static str, starts: &Arc<AtomicU32>) -> Spec {
    let starts = Arc::clone(starts);
    Spec::task(name, move || {
        starts.fetch_add(1, Ordering::SeqCst);
        std::future::pending()
    })
}

/// Guards against a task that stays dead after a panic while its siblings run on.
#[tokio::test(start_paused = true)]
async fn restarts_the_task_that_panicked() {
    let (first, second) = (Arc::default(), Arc::default());
    let children = vec![counted("first", &first), counted("second", &second)];
    let root = Spec::group("root", Strategy::One, children);
    let (tree, mut changes) = Supervisor::spawn(root, quick(5));

    tree.inject_panic("first");
    let change = changes.recv().await;
    tokio::time::sleep(Duration::from_millis(1)).await;

    assert_eq!(change, Some(Change::Restarted("first")));
    assert_eq!(first.load(Ordering::SeqCst), 2);
    assert_eq!(second.load(Ordering::SeqCst), 1);
}

/// Guards against siblings that run on with state that a panic left half changed.
#[tokio::test(start_paused = true)]
async fn a_panic_takes_the_subtree_with_it() {
    let (inner, sibling, outside) = (Arc::default(), Arc::default(), Arc::default());
    let children = vec![counted("inner", &inner), counted("sibling", &sibling)];
    let group = Spec::group("group", Strategy::All, children);
    let root = Spec::group(
        "root",
        Strategy::One,
        vec![group, counted("outside", &outside)],
    );
    let (tree, mut changes) = Supervisor::spawn(root, quick(5));

    tree.inject_panic("inner");
    let change = changes.recv().await;
    tokio::time::sleep(Duration::from_millis(1)).await;

    assert_eq!(change, Some(Change::Restarted("inner")));
    assert_eq!(inner.load(Ordering::SeqCst), 2);
    assert_eq!(sibling.load(Ordering::SeqCst), 2);
    assert_eq!(outside.load(Ordering::SeqCst), 1);
}

/// Guards against a task that fails at once and is restarted for ever in silence.
#[tokio::test(start_paused = true)]
async fn gives_up_after_the_limit() {
    let failing = Spec::task("failing", || async { Err(eyre::eyre!("no")) });
    let root = Spec::group("root", Strategy::One, vec![failing]);
    let (tree, mut changes) = Supervisor::spawn(root, quick(2));

    tree.failed().await;

    let mut seen = Vec::new();
    while let Ok(change) = changes.try_recv() {
        seen.push(change);
    }
    let restarted = Change::Restarted("failing");
    let expected = [restarted.clone(), restarted, Change::GaveUp("failing")];
    assert_eq!(seen, expected);
}
