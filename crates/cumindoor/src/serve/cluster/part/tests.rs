//! Tests of calls that carry several messages.

use coord::config::Document;

use super::*;
use crate::serve::peer::MAX_FRAME_BYTES;

/// Messages that together exceed the transport's limit must not go into one call, because that call
/// would fail on every retry.
#[test]
fn large_messages_are_split_in_order() {
    let push = |revision: u64, bytes: usize| {
        let text = Some("x".repeat(bytes).into());
        let document = Document {
            name: "org".into(),
            revision,
            text,
            age_seconds: 0,
        };
        Message::Push {
            documents: vec![document],
        }
    };
    let sizes = [1_000_000, 400_000, 400_000, 1_000, 1_000_000, 10];
    let config: Vec<_> = (1..)
        .zip(sizes)
        .map(|(revision, bytes)| push(revision, bytes))
        .collect();
    let call = ClusterCall {
        members: Vec::new(),
        config: config.clone(),
    };

    let calls = call.split();

    let lengths = calls
        .iter()
        .map(|call| rmp_serde::to_vec(call).unwrap().len());
    assert!(
        lengths.clone().all(|length| length < MAX_FRAME_BYTES),
        "{:?}",
        lengths.collect::<Vec<_>>()
    );
    let joined: Vec<_> = calls.into_iter().flat_map(|call| call.config).collect();
    assert_eq!(joined, config);
}
