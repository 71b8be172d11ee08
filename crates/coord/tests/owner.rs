//! Computed ownership by rendezvous hashing.

use std::collections::BTreeMap;

use coord::owner::Owners;
use proptest::prelude::*;

const KEYS: u64 = 2_000;

fn fleet(data_centres: &[usize]) -> Owners {
    let vms = data_centres
        .iter()
        .enumerate()
        .flat_map(|(data_centre, vms)| {
            (0..*vms).map(move |vm| {
                (
                    format!("vm-{data_centre}-{vm}").into(),
                    format!("dc-{data_centre}").into(),
                )
            })
        });
    vms.collect()
}

/// Guards against the loss of a member moving keys of other owners.
#[test]
fn only_the_keys_of_a_lost_member_move() {
    let before = fleet(&[3, 3, 2]);
    let lost = before.owner(0).unwrap().clone();
    let names = [
        "vm-0-0", "vm-0-1", "vm-0-2", "vm-1-0", "vm-1-1", "vm-1-2", "vm-2-0", "vm-2-1",
    ];
    let rest = names.iter().filter(|name| **name != lost.as_str());
    let after: Owners = rest
        .map(|name| ((*name).into(), name[..4].replace("vm", "dc").into()))
        .collect();

    let moved = (0..KEYS).filter(|key| before.owner(*key) != after.owner(*key));

    let mut count = 0;
    for key in moved {
        assert_eq!(before.owner(key), Some(&lost), "key {key}");
        count += 1;
    }
    // One of eight members owns 250 of 2,000 keys on average. Twice as many would show a skewed
    // hash.
    assert!(count < 500, "{count} of {KEYS} keys moved");
}

/// Guards against a member that owns far more keys than its share.
#[test]
fn keys_are_spread_evenly() {
    let owners = fleet(&[43; 8]);
    let mut counts = BTreeMap::new();

    for key in 0..344 * 100 {
        *counts.entry(owners.owner(key).unwrap()).or_insert(0) += 1;
    }

    // Five standard deviations of a binomial count with a mean of 100.
    assert!(counts.len() == 344 && counts.values().all(|n| (50..150).contains(n)));
}

/// Guards against a key that has an owner although there are no members.
#[test]
fn no_member_owns_nothing() {
    let owners = Owners::default();

    assert_eq!((owners.owner(1), owners.owners(1, 3).len()), (None, 0));
}

proptest! {
    /// Guards against owners in one data centre while another one has unused members.
    #[test]
    fn owners_are_spread(data_centres in prop::collection::vec(1usize..6, 1..5), key: u64, n in 0usize..9) {
        let owners = fleet(&data_centres);

        let chosen = owners.owners(key, n);

        let mut counts = vec![0; data_centres.len()];
        for vm in &chosen {
            counts[vm.as_str()[3..4].parse::<usize>().unwrap()] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or(0);
        prop_assert_eq!(chosen.len(), n.min(owners.len()));
        prop_assert!(chosen.first().copied() == owners.owner(key) || n == 0);
        for (data_centre, count) in counts.iter().enumerate() {
            prop_assert!(*count + 1 >= most || *count == data_centres[data_centre], "{:?} {:?}", data_centres, chosen);
        }
    }
}
