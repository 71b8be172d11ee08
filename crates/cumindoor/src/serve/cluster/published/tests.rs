//! Tests of the published documents and of the trust in the view.

use super::*;

fn documents(entries: &[(&str, u64)]) -> Documents {
    let mut documents = Documents::default();
    for (name, revision) in entries {
        documents.set(&Arc::from(*name), *revision, Some("text".into()));
    }
    documents
}

/// A task that restarts receives its documents again in any order and must not publish an older
/// text than before.
#[test]
fn an_older_revision_is_ignored() {
    let mut documents = documents(&[("org-1", 5)]);

    documents.set(&"org-1".into(), 4, Some("older".into()));
    documents.set(&"org-1".into(), 4, None);

    assert_eq!(
        documents.get("org-1").map(|document| document.revision),
        Some(5)
    );
}

/// Readers that compare two snapshots must not miss a changed, a new or a deleted document.
#[test]
fn changed_since_finds_all_differences() {
    let old = documents(&[("org-1", 1), ("org-2", 2), ("org-3", 3)]);
    let mut new = old.clone();

    new.set(&"org-1".into(), 4, Some("text".into()));
    new.set(&"org-2".into(), 5, None);
    new.set(&"org-4".into(), 6, Some("text".into()));

    let changed: Vec<Arc<str>> = vec!["org-1".into(), "org-2".into(), "org-4".into()];
    assert_eq!(new.changed_since(&old), changed);
    assert_eq!(old.iter().count(), 3);
}

/// The last state that a stopped or paused task published must not count as current.
#[test]
fn trust_ends_when_the_task_does_not_run() {
    let published = Published::new();

    published.set_trusted(true);
    let running = published.trusted(Duration::from_hours(1));
    std::thread::sleep(Duration::from_millis(2));

    assert!(running && !published.trusted(Duration::from_millis(1)));
}
