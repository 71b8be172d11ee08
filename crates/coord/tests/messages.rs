//! Sizes of the messages between VMs in `MessagePack`, the encoding that the `cumindoor` binary
//! uses.

use std::fmt::Debug;
use std::time::Duration;

use coord::claim::{AttemptId, Holder, Key, KeyHash, Message, Page, RecordCopy};
use coord::fence::{VmInstance, Vote};
use coord::lease::{Renewal, Slot, job_id};
use coord::limit::CreditRequest;
use coord::name::{Incarnation, Organisation, Service, Upstream, VmName};
use coord::poison::{CrashRecord, PoisonOptions, Sighting, UpstreamStart};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that a message is equal after encoding and decoding, and returns its encoded size.
fn round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(message: &T) -> usize {
    let bytes = rmp_serde::to_vec(message).expect("the message can be encoded");
    let back: T = rmp_serde::from_slice(&bytes).expect("the message can be decoded");
    assert_eq!(&back, message);
    bytes.len()
}

fn vm() -> VmName {
    VmName::from("boa-viagem-vm-0117")
}

fn record(at: u64) -> RecordCopy {
    RecordCopy {
        key: KeyHash(u64::MAX - at, u64::MAX - at),
        holder: Holder {
            vm: vm(),
            attempt: AttemptId(u64::MAX - at),
        },
        age: Duration::from_millis(3_599_900),
        contested: false,
    }
}

/// Guards against a full page that does not fit into a frame, or that cannot be decoded.
#[test]
fn a_page_stays_below_24_kib() {
    let page = Page {
        revision: 6_600,
        requester: Incarnation(7),
        base: Some(6_599),
        after: Some(KeyHash(1, 2)),
        incarnation: Incarnation(8),
        complete: true,
        ready: true,
        floor: 6_599,
        history: (6_569..=6_600).collect(),
        records: (0..256).map(record).collect(),
        next: Some(KeyHash(3, 4)),
    };

    let length = round_trip(&Message::Page(page));

    println!("{length} bytes for 256 records");
    assert!(length < 24 << 10, "{length} bytes");
}

fn renewal(slots: Option<Vec<Slot>>) -> Renewal {
    Renewal {
        incarnation: Incarnation(8),
        sequence: u64::MAX,
        digest: u64::MAX,
        slots,
    }
}

/// Guards against a registration of a whole cell (64 engines with 20 slots each) by one VM that
/// does not fit into a frame, and against renewals that take up the 22 KB/s of control traffic of a
/// VM, which receives them from 340 VMs every second.
#[test]
fn renewals_are_small() {
    let slot = |at: u128| Slot {
        job: job_id(&vm(), u128::MAX - at),
        upstream: Upstream::from("lm-writers-decode-17"),
    };
    let all = (0..64 * 20).map(slot).collect();

    let registration = round_trip(&renewal(Some(all)));
    let usual = round_trip(&renewal(None));

    println!("{registration} bytes for 1,280 slots, {usual} bytes for a renewal");
    assert!(registration < 64 << 10, "{registration} bytes");
    assert!(usual * 340 < 11 << 10, "{usual} bytes");
}

/// Guards against messages that cannot be decoded, in particular because of 128-bit numbers.
#[test]
fn small_messages_can_be_decoded() {
    let charge = CrashRecord {
        fingerprint: u128::MAX,
        sightings: vec![Sighting {
            crashed: UpstreamStart::new(Upstream::from("logreader-3"), u64::MAX),
            observer: vm(),
            ran: Duration::from_millis(250),
            age: Duration::from_secs(1),
        }],
        cleared: Some(Duration::from_secs(2)),
    };
    let vote = Vote {
        cell: Service::from("logreader"),
        owner: VmInstance {
            vm: vm(),
            incarnation: Incarnation(1),
        },
        round: 2,
        give_up: false,
    };

    let lengths = [
        round_trip(&vec![charge; PoisonOptions::default().max_batch]),
        round_trip(&vote),
        round_trip(&CreditRequest::default()),
    ];

    println!("{lengths:?} bytes");
    assert!(lengths[0] < 4 << 10);
}

/// Guards against an issue time that is read from a key that is not a version 7 UUID.
#[rstest]
#[case("01941f29-7c00-7000-8000-000000000000", Some(1_735_689_600_000))]
#[case("01941f29-7c00-4000-8000-000000000000", None)]
#[case("order-17", None)]
fn only_version_7_names_its_time(#[case] text: &str, #[case] issued: Option<u64>) {
    let key = Key::new(&Organisation::from("souk"), text);

    assert_eq!(key.issued_ms, issued);
}

/// Guards against equal keys of two organisations that collide.
#[test]
fn organisations_do_not_share_keys() {
    let of = |organisation: &str| Key::new(&Organisation::from(organisation), "order-17").hash;

    assert_ne!(of("souk"), of("celeste"));
}
