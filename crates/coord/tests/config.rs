//! Single transitions of the replication of documents.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{
    Action, ConfigReplica, Document, Message, OfferOutcome, Options, ReadResponse, Store,
    TOMBSTONE_RETENTION, Validator,
};
use coord::member::{Member, MemberStatus, View};
use coord::name::Incarnation;
use coord::time::Time;

const NOW: Time = Time::from_millis(100_000_000);

fn validator() -> Validator {
    Arc::new(|name, text| match text.strip_prefix("bad") {
        Some(rest) => Err(vec![format!("{name}: line 1: {rest}")]),
        None => Ok(()),
    })
}

fn store() -> Store {
    Store::new(validator())
}

fn document(name: &str, revision: u64, text: &str) -> Document {
    Document {
        name: name.into(),
        revision,
        text: Some(text.into()),
        age_seconds: 0,
    }
}

fn config(name: &str) -> ConfigReplica {
    ConfigReplica::new(name.into(), validator(), Options::default(), 1, NOW)
}

/// Delivers `message` from `b` to `a`, and then all resulting messages until none is left.
fn exchange_messages(a: &mut ConfigReplica, b: &mut ConfigReplica, message: Message) {
    let mut pending = vec![(true, message)];
    while let Some((to_a, message)) = pending.pop() {
        let (receiver, from) = if to_a { (&mut *a, "b") } else { (&mut *b, "a") };
        let actions = receiver.receive(NOW, &from.into(), message);
        for action in actions {
            if let Action::Send { message, .. } = action {
                pending.push((!to_a, message));
            }
        }
    }
}

fn root(config: &ConfigReplica) -> Message {
    let (root, cursor) = (config.store().root(), config.cursor());
    Message::Root {
        root,
        cursor,
        ready: config.is_ready(),
        reply: false,
    }
}

fn answer(since: u64, revision: u64, documents: Vec<Document>) -> ReadResponse {
    ReadResponse {
        since,
        revision,
        documents,
    }
}

/// Guards against a malformed text that replaces the last well-formed one, and against lost
/// findings.
#[test]
fn the_last_good_text_stays_in_force() {
    let mut store = store();
    store.offer(NOW, &document("org", 1, "good"));

    let offered = store.offer(NOW, &document("org", 2, "bad key"));

    assert_eq!(offered, OfferOutcome::Rejected);
    assert_eq!(store.get("org"), Some((1, "good".into())));
    let findings: Vec<_> = store
        .rejected()
        .flat_map(|(_, r)| r.findings.clone())
        .collect();
    assert_eq!(findings, ["org: line 1:  key"]);
}

/// Guards against findings that remain after the text was corrected.
#[test]
fn a_corrected_text_ends_the_findings() {
    let mut store = store();
    store.offer(NOW, &document("org", 1, "bad"));

    store.offer(NOW, &document("org", 2, "good"));

    assert_eq!(
        (store.rejected().count(), store.get("org").unwrap().0),
        (0, 2)
    );
}

/// Guards against a VM that receives a malformed text first and never the well-formed one of a
/// lower revision.
#[test]
fn a_good_text_below_a_malformed_one_is_accepted_and_repaired() {
    let (mut a, mut b) = (config("a"), config("b"));
    a.read_succeeded(NOW, &answer(0, 2, vec![document("org", 2, "bad")]));
    b.read_succeeded(NOW, &answer(0, 1, vec![document("org", 1, "good")]));
    b.read_succeeded(NOW, &answer(1, 2, vec![document("org", 2, "bad")]));

    let message = root(&b);
    exchange_messages(&mut a, &mut b, message);

    assert_eq!(a.store().get("org"), Some((1, "good".into())));
    assert_eq!(a.store().root(), b.store().root());
}

/// Guards against a deleted document that is restored by an older copy.
#[test]
fn a_deletion_is_remembered_and_forgotten_after_a_day() {
    let mut store = store();
    store.offer(NOW, &document("org", 1, "good"));
    let deletion = Document {
        name: "org".into(),
        revision: 2,
        text: None,
        age_seconds: 0,
    };
    store.offer(NOW, &deletion);

    let old = store.offer(NOW, &document("org", 1, "good"));
    store.purge_tombstones(
        NOW + TOMBSTONE_RETENTION
            .checked_sub(Duration::from_secs(1))
            .unwrap(),
    );
    let kept = store.len();
    store.purge_tombstones(NOW + TOMBSTONE_RETENTION);

    assert_eq!((old, kept, store.len()), (OfferOutcome::Stale, 1, 0));
    assert!(store.digest().iter().all(|bucket| *bucket == 0));
}

/// Guards against records of deletions that never expire because each copy starts a new retention
/// time.
#[test]
fn the_age_of_a_deletion_is_copied() {
    let mut first = store();
    first.offer(
        NOW,
        &Document {
            name: "org".into(),
            revision: 2,
            text: None,
            age_seconds: 0,
        },
    );
    let copied = first.documents(NOW + TOMBSTONE_RETENTION / 2, "org");

    let mut second = store();
    second.offer(NOW, &copied[0]);
    second.purge_tombstones(NOW + TOMBSTONE_RETENTION / 2);

    assert!(second.is_empty());
}

/// Guards against a response that starts above the cursor and advances it, so that later reads skip
/// the documents in between.
#[test]
fn a_gap_does_not_move_the_cursor() {
    let mut a = config("a");

    a.read_succeeded(NOW, &answer(5, 9, vec![document("org", 9, "good")]));

    assert_eq!((a.cursor(), a.store().get("org").unwrap().0), (0, 9));
}

/// Guards against a peer that restarted during a transfer and whose empty answers look like its
/// completion.
#[test]
fn a_peer_that_lost_its_memory_does_not_move_the_cursor() {
    let (mut a, mut b) = (config("a"), config("b"));
    b.read_succeeded(NOW, &answer(0, 7, vec![document("org", 7, "good")]));
    let buckets = b.store().digest().to_vec();
    let cursor = b.cursor();

    exchange_messages(
        &mut a,
        &mut config("b"),
        Message::Buckets {
            buckets,
            cursor,
            ready: true,
        },
    );

    assert_eq!(a.cursor(), 0);
}

/// Guards against a VM that serves before it has had a trusted view of its peers.
#[test]
fn a_vm_without_a_trusted_view_does_not_become_ready() {
    let mut a = config("a");
    a.update_view(&View::default(), false);

    a.read_succeeded(NOW, &answer(0, 3, vec![document("org", 3, "good")]));

    assert!(!a.is_ready());
}

/// Guards against a repeated snapshot that counts as a change of every document.
#[test]
fn a_snapshot_changes_only_what_differs() {
    let mut a = config("a");
    let texts = |all: &[(&str, &str)]| -> BTreeMap<Arc<str>, Arc<str>> {
        all.iter()
            .map(|(name, text)| ((*name).into(), (*text).into()))
            .collect()
    };
    a.apply_snapshot(
        NOW,
        "@",
        1,
        &texts(&[("@vm/1", "x"), ("@vm/2", "y"), ("@vm/3", "z")]),
    );

    a.apply_snapshot(NOW, "@", 2, &texts(&[("@vm/1", "x"), ("@vm/2", "changed")]));
    a.apply_snapshot(NOW, "@", 1, &texts(&[("@vm/2", "y"), ("@vm/3", "z")]));

    let held = |name: &str| a.store().held_revisions(name).unwrap().latest;
    assert_eq!([held("@vm/1"), held("@vm/2"), held("@vm/3")], [1, 2, 2]);
    assert_eq!(a.store().get("@vm/3"), None);
}

/// Guards against large texts that a VM receives from several peers.
#[test]
fn a_large_text_is_announced_and_sent_once() {
    let (mut a, mut b) = (config("a"), config("b"));
    let text = "large ".repeat(1_000);
    b.read_succeeded(NOW, &answer(0, 1, vec![document("org", 1, &text)]));
    let held = b.store().held_revisions("org").unwrap();

    let first = a.receive(
        NOW,
        &"b".into(),
        Message::Announce {
            held: vec![held.clone()],
        },
    );
    let second = a.receive(NOW, &"c".into(), Message::Announce { held: vec![held] });

    let names = vec!["org".into()];
    let want = Action::Send {
        to: "b".into(),
        message: Message::DocumentRequest { names },
    };
    assert_eq!((first, second.len()), (vec![want], 0));
}

/// Guards against changes that reach most VMs only by their next comparison.
#[test]
fn a_change_is_pushed_to_a_few_peers() {
    let mut a = config("a");
    let member = |number: u16| Member {
        zone: "east".into(),
        addr: ([10, 0, 0, 1], number).into(),
        incarnation: Incarnation(1),
        status: MemberStatus::Live,
    };
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .into_iter()
        .zip(1..);
    let members = names
        .map(|(name, number)| (name.into(), member(number)))
        .collect();
    a.update_view(
        &View {
            version: 1,
            members,
        },
        true,
    );

    let actions = a.read_succeeded(NOW, &answer(0, 1, vec![document("org", 1, "good")]));

    let pushed = actions.iter().filter(|action| {
        matches!(action, Action::Send { message: Message::Push { documents }, .. } if documents.len() == 1)
    });
    assert_eq!(pushed.count(), 4);
}

/// Guards against answers that exceed the maximum size of the transport, so that two VMs never hold
/// the same documents: a well-formed and a malformed text of the maximum size need two messages.
#[test]
fn large_texts_are_sent_one_by_one() {
    let (mut a, mut b) = (config("a"), config("b"));
    let good = "good ".repeat(200_000);
    let bad = "bad ".repeat(250_000);
    b.read_succeeded(NOW, &answer(0, 1, vec![document("org", 1, &good)]));
    b.read_succeeded(NOW, &answer(1, 2, vec![document("org", 2, &bad)]));
    // `a` starts the comparison, so that the texts are sent in answers and not pushed.
    let mut pending = vec![(false, root(&a))];
    let mut largest = 0;

    while let Some((to_a, message)) = pending.pop() {
        largest = largest.max(message.size());
        let (receiver, from) = if to_a { (&mut a, "b") } else { (&mut b, "a") };
        for action in receiver.receive(NOW, &from.into(), message) {
            if let Action::Send { message, .. } = action {
                pending.push((!to_a, message));
            }
        }
    }

    assert!(largest < 1_100_000, "{largest} bytes");
    assert_eq!(
        a.store().held_revisions("org"),
        b.store().held_revisions("org")
    );
}
