//! The table of the keys of organisations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use border::{ApiKey, CallerLimits, OrganisationDef, RequestMeta, Routing};
use cumindoor::gateway::organisations::keys::KeyTable;

/// The numbers of organisations and keys that `docs/design/organisations.md` states as limits.
const ORGANISATIONS: usize = 1_000;
const KEYS: usize = 10_000;

fn organisation(name: &str, keys: impl IntoIterator<Item = String>) -> Arc<OrganisationDef> {
    Arc::new(OrganisationDef {
        name: name.into(),
        keys: keys.into_iter().map(ApiKey::from).collect(),
        priority: None,
        allowance: None,
    })
}

fn routing(organisations: Vec<Arc<OrganisationDef>>) -> Routing {
    Routing {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        organisations: Some(organisations),
    }
}

fn key(number: usize) -> String {
    format!("secret-{number:05}")
}

/// Returns the name of the organisation that holds a key.
fn holder(table: &KeyTable, key: &str) -> Option<String> {
    let holder = table.holder(&key.into())?;
    Some(holder.name.as_str().to_owned())
}

/// Guards against keys of a large configuration that are not found, or belong to another organisation.
#[test]
fn all_keys_of_many_organisations_are_found() {
    let each = KEYS / ORGANISATIONS;
    let organisations = (0..ORGANISATIONS).map(|number| {
        let keys = (each * number..each * (number + 1)).map(key);
        organisation(&format!("org-{number}"), keys)
    });
    let table = KeyTable::new(&routing(organisations.collect()));

    for number in 0..KEYS {
        let expected = format!("org-{}", number / each);
        assert_eq!(holder(&table, &key(number)), Some(expected));
    }
    for number in KEYS..2 * KEYS {
        assert_eq!(holder(&table, &key(number)), None);
    }
}

/// Guards against a key that matches because it begins like another one or differs in case or spaces.
#[test]
fn a_key_matches_as_a_whole() {
    let table = KeyTable::new(&routing(vec![organisation("org-a", [key(1)])]));

    for other in [
        "",
        "secret-0000",
        "secret-000010",
        "Secret-00001",
        " secret-00001",
    ] {
        assert_eq!(holder(&table, other), None, "{other:?}");
    }
}

/// Guards against a key that changes its holder from one gateway to the other because two organisations have it.
#[test]
fn a_key_of_two_organisations_belongs_to_the_first() {
    let both = [
        organisation("org-a", [key(1)]),
        organisation("org-b", [key(1)]),
    ];

    let table = KeyTable::new(&routing(both.to_vec()));

    assert_eq!(holder(&table, &key(1)), Some("org-a".to_owned()));
}

/// Guards against keys in log lines that show a request, a configuration or the table.
#[test]
fn no_key_is_shown() {
    let routing = routing(vec![organisation("org-a", [key(1)])]);
    let table = KeyTable::new(&routing);
    let meta = RequestMeta {
        key: Some(Ok(key(1).into())),
        ..RequestMeta::default()
    };

    for shown in [
        format!("{meta:?}"),
        format!("{routing:?}"),
        format!("{table:?}"),
    ] {
        assert!(!shown.contains("secret"), "{shown}");
    }
}
