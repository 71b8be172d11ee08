//! Prints the resident memory of one VM's membership and documents at the target's size.
//!
//! `cargo run --release -p cumindoor-coord --example footprint`

use std::sync::Arc;

use coord::config::{Answer, Config, Document, Options as ConfigOptions};
use coord::member::{Listed, Me, Members, Options};
use coord::time::Time;

/// The target of `docs/design.md`, section 2.
const VMS: u16 = 340;
const DOCUMENTS: u32 = 42_000;

/// The length of a text in bytes: a document with two services and their limits.
const TEXT: usize = 500;

/// The page size of the platforms in use, in bytes.
const PAGE: f64 = 4_096.0;

/// Returns the resident memory of this process in bytes.
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("Linux has /proc");
    let pages = pages
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u32>().ok());
    f64::from(pages.expect("the second number is the resident size")) * PAGE
}

fn listed(number: u16) -> Listed {
    Listed {
        name: format!("vm-{number:03}").into(),
        zone: format!("data-centre-{}", number % 8).into(),
        addr: ([10, 0, 0, 1], number).into(),
        leaving: false,
    }
}

fn main() {
    let start = resident();
    let Listed {
        name, zone, addr, ..
    } = listed(0);
    let me = Me {
        name: name.clone(),
        zone,
        addr,
        boot: 1,
    };
    let mut members = Members::new(me, Options::default(), 1, Time::ZERO);
    members.list(Time::ZERO, 1, &(0..VMS).map(listed).collect::<Vec<_>>());
    let joined = resident();

    let mut config = Config::new(
        name,
        Arc::new(|_, _| Ok(())),
        ConfigOptions::default(),
        1,
        Time::ZERO,
    );
    for number in 1..=DOCUMENTS {
        let revision = u64::from(number);
        let text = format!("{number:x<TEXT$}");
        let name = format!("organisation-{number}").into();
        let document = Document {
            name,
            revision,
            text: Some(text.into()),
            age: 0,
        };
        let documents = vec![document];
        config.answer(
            Time::ZERO,
            &Answer {
                since: revision - 1,
                revision,
                documents,
            },
        );
    }
    let full = resident();

    let members_bytes = joined - start;
    let document = (full - joined) / f64::from(DOCUMENTS);
    println!("{VMS} members: {:.0} KB", members_bytes / 1e3);
    println!(
        "{DOCUMENTS} documents of {TEXT} bytes: {:.1} MB",
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
