//! Prints the resident memory that the membership and the documents take on one VM, for the number
//! of VMs and documents that the design targets.
//!
//! Run it with `cargo run --release -p cumindoor-coord --example footprint`

use std::sync::Arc;

use coord::config::{ConfigReplica, Document, Options as ConfigOptions, ReadResponse};
use coord::member::{ListedVm, LocalVm, Members, Options};
use coord::time::Time;

/// Numbers of VMs and documents that `docs/design.md`, section 2, gives as the target.
const VMS: u16 = 340;
const DOCUMENTS: u32 = 42_000;

/// Length of the text of a document with two services and their limits.
const TEXT_BYTES: usize = 500;

/// Memory page size of the supported platforms.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("Linux has /proc");
    let pages = pages
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u32>().ok());
    f64::from(pages.expect("the second number is the resident size")) * PAGE_BYTES
}

fn listed(number: u16) -> ListedVm {
    ListedVm {
        name: format!("vm-{number:03}").into(),
        zone: format!("data-centre-{}", number % 8).into(),
        addr: ([10, 0, 0, 1], number).into(),
        leaving: false,
    }
}

fn main() {
    let start = resident_bytes();
    let ListedVm {
        name, zone, addr, ..
    } = listed(0);
    let me = LocalVm {
        name: name.clone(),
        zone,
        addr,
        boot: 1,
    };
    let mut members = Members::new(me, Options::default(), 1, Time::ZERO);
    members.apply_list(Time::ZERO, 1, &(0..VMS).map(listed).collect::<Vec<_>>());
    let joined = resident_bytes();

    let mut config = ConfigReplica::new(
        name,
        Arc::new(|_, _| Ok(())),
        ConfigOptions::default(),
        1,
        Time::ZERO,
    );
    for number in 1..=DOCUMENTS {
        let revision = u64::from(number);
        let text = format!("{number:x<TEXT_BYTES$}");
        let name = format!("organisation-{number}").into();
        let document = Document {
            name,
            revision,
            text: Some(text.into()),
            age_seconds: 0,
        };
        let documents = vec![document];
        config.read_succeeded(
            Time::ZERO,
            &ReadResponse {
                since: revision - 1,
                revision,
                documents,
            },
        );
    }
    let full = resident_bytes();

    let members_bytes = joined - start;
    let document = (full - joined) / f64::from(DOCUMENTS);
    println!("{VMS} members: {:.0} KB", members_bytes / 1e3);
    println!(
        "{DOCUMENTS} documents of {TEXT_BYTES} bytes: {:.1} MB",
        (full - joined) / 1e6
    );
    println!(
        "{document:.0} bytes per document, {:.0} besides its text",
        document - 500.0
    );
    println!(
        "documents held: {}, in the view: {}",
        config.store().len(),
        members.view().members.len()
    );
}
