//! Test of the memory that records take. It is the only test of its file, because others in the
//! same process would change the measurement.

use std::time::Duration;

use coord::claim::{AttemptId, KeyHash, RecordStore};
use coord::name::VmName;
use coord::time::Time;

/// Guards against records that take too much memory: 400,000 of them must take less than 32 MB,
/// half of what a VM may use for coordination.
#[test]
fn records_fit_into_half_of_the_memory() {
    let resident = || {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap();
        text.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4_096
    };
    let vm = VmName::from("vm-01");
    let mut store = RecordStore::new(Duration::from_secs(100), 400_000);
    let before = resident();

    for at in 0..400_000_u64 {
        let hash = at.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        store.write(Time::ZERO, KeyHash(hash, at), &vm, AttemptId(at));
    }

    let bytes = resident() - before;
    println!("{} bytes per record", bytes / 400_000);
    assert_eq!(store.len(), 400_000);
    assert!(bytes < 32 << 20, "{bytes} bytes");
}
