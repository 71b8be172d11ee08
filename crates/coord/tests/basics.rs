//! Names, instants and hashes.

use std::time::Duration;

use coord::hash::rendezvous_score;
use coord::name::VmName;
use coord::time::Time;

/// Guards against an instant before the origin that wraps around to the far future.
#[test]
fn subtraction_saturates_at_the_origin() {
    let early = Time::from_millis(1);

    let result = early - Duration::from_secs(1);

    assert_eq!(result, Time::ZERO);
}

/// Guards against a name whose text differs from the one that it was created with.
#[test]
fn names_display_as_given() {
    let name = VmName::from("vm-1");

    let text = name.to_string();

    assert_eq!(text, "vm-1");
}

/// Guards against a change of the hash, with which VMs of different versions would compute
/// different owners during an upgrade.
#[test]
fn rendezvous_scores_are_fixed() {
    let score = rendezvous_score(42, "vm-1");

    assert_eq!(score, 13_710_041_273_491_130_936);
}
