use std::time::Duration;

use coord::origin::{OriginMessage, OriginRecord};

use super::*;
use crate::gateway::admission::load_table::{CrashReport, Digest};

fn store_report() -> StoreReport {
    let report = FreshnessReport {
        last_change: 7,
        age_ms: 3,
    };
    StoreReport {
        routing: Some(report),
        upstreams: None,
    }
}

fn origin_messages() -> Vec<OriginMessage> {
    let record = OriginRecord::new(1, Some(2), Duration::from_secs(1));
    vec![
        OriginMessage::Told(vec![record]),
        OriginMessage::Asked {
            round: 1,
            streams: vec![1],
        },
        OriginMessage::Answered {
            round: 1,
            known: Vec::new(),
            unknown: vec![1],
        },
    ]
}

/// Guards against a message about streams that is taken for a report about the store, and lost.
#[test]
fn reports_are_told_from_other_messages() {
    for message in origin_messages() {
        let bytes = rmp_serde::to_vec(&message).unwrap();
        assert!(rmp_serde::from_slice::<StoreReport>(&bytes).is_err());
    }
    let bytes = rmp_serde::to_vec(&store_report()).unwrap();

    assert!(rmp_serde::from_slice::<Digest>(&bytes).is_err());
    assert!(rmp_serde::from_slice::<CrashReport>(&bytes).is_err());
    assert!(rmp_serde::from_slice::<OriginMessage>(&bytes).is_err());
    assert_eq!(
        rmp_serde::from_slice::<StoreReport>(&bytes).unwrap(),
        store_report()
    );
}
