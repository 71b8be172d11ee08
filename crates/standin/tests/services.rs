//! Tests of the plain service and the platform.

mod support;

use http_body_util::BodyExt;
use serde_json::{Value, json};
use standin::{Plain, PlainOptions, Platform, PlatformOptions, Staleness, UpstreamEntry, VmEntry};
use support::{call, connect, send};

async fn platform() -> Platform {
    Platform::spawn(PlatformOptions::default()).await.unwrap()
}

async fn read(platform: &Platform, path: &str) -> Value {
    let (status, value) = call(platform.addr(), "GET", path, Value::Null).await;
    assert_eq!(status, 200, "{value}");
    value
}

fn vm(name: &str, state: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        data_centre: "suape".into(),
        peer: "127.0.0.1:1".into(),
        state: state.into(),
    }
}

/// Guards against a fault before the run that is counted as a run, and a fault after the run that
/// is not.
#[rstest::rstest]
#[case::before(true, false, 0)]
#[case::after(false, true, 1)]
#[tokio::test]
async fn failure_before_and_after_the_run(
    #[case] before: bool,
    #[case] after: bool,
    #[case] runs: u32,
) {
    let plain = Plain::spawn(PlainOptions::default()).await.unwrap();
    plain.update_faults(|faults| {
        faults.fail_before = before;
        faults.fail_after = after;
    });
    let mut sender = connect(plain.addr()).await.unwrap();

    let outcome = send(&mut sender, "POST", "/topup", "5").await;

    assert!(outcome.is_err());
    assert_eq!(plain.runs("key-1"), runs);
}

/// Guards against an echo that differs from the request, and runs that are miscounted.
#[tokio::test]
async fn plain_service_echoes_and_counts() {
    let plain = Plain::spawn(PlainOptions::default()).await.unwrap();
    let mut sender = connect(plain.addr()).await.unwrap();

    send(&mut sender, "POST", "/topup?x=1", "5").await.unwrap();
    let response = send(&mut sender, "POST", "/topup?x=1", "5").await.unwrap();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    let value: Value = serde_json::from_slice(&bytes).unwrap();

    let expected = json!({ "method": "POST", "path": "/topup?x=1", "body": "5", "run": 2 });
    assert_eq!(value, expected);
    assert_eq!((plain.runs("key-1"), plain.total_runs()), (2, 2));
}

/// Guards against readers of changes that miss a change or a deletion.
#[tokio::test]
async fn documents_since_a_revision() {
    let platform = platform().await;
    platform.put_document("a", "one").unwrap();
    platform.put_document("b", "two").unwrap();
    platform.put_document("a", "three").unwrap();
    platform.delete_document("b");

    let value = read(&platform, "/v1/documents?since=2").await;

    let expected = json!({ "revision": 4, "documents": [
        { "name": "a", "revision": 3, "text": "three" },
        { "name": "b", "revision": 4, "text": null },
    ] });
    assert_eq!(value, expected);
}

/// Guards against a watch that ends before there is a change, or does not end with one.
#[tokio::test]
async fn watch_ends_with_the_change() {
    let platform = platform().await;
    let mut sender = connect(platform.addr()).await.unwrap();
    let path = "/v1/documents?since=0&wait_ms=600000";
    let mut watch = Box::pin(send(&mut sender, "GET", path, ""));
    while platform.reads() == 0 {
        assert!(futures::poll!(&mut watch).is_pending());
        tokio::task::yield_now().await;
    }

    platform.put_document("a", "one").unwrap();
    let response = watch.await.unwrap();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    let value: Value = serde_json::from_slice(&bytes).unwrap();

    assert_eq!(value["documents"][0]["text"], "one");
    assert_eq!(platform.reads(), 1);
}

/// Guards against a stale replica that returns later changes.
#[tokio::test]
async fn stale_replica_answers_an_older_revision() {
    let platform = platform().await;
    platform.put_document("a", "one").unwrap();
    platform.set_staleness(Staleness::Flapping);
    platform.put_document("a", "two").unwrap();

    let first = read(&platform, "/v1/documents?since=0").await;
    let second = read(&platform, "/v1/documents?since=0").await;
    platform.set_staleness(Staleness::Current);
    let third = read(&platform, "/v1/documents?since=0").await;

    let mut revisions = [&first, &second].map(|value| value["revision"].as_u64());
    revisions.sort_unstable();
    assert_eq!(revisions, [Some(1), Some(2)]);
    assert_eq!(third["revision"], 2);
}

/// Guards against a list that loses entries or keeps removed ones.
#[tokio::test]
async fn list_has_vms_and_upstreams() {
    let platform = platform().await;
    platform.put_vm(vm("vm-1", "live"));
    platform.put_vm(vm("vm-2", "live"));
    platform.put_vm(vm("vm-1", "leaving"));
    platform.remove_vm("vm-2");
    platform.put_upstream(UpstreamEntry {
        name: "engine-1".into(),
        service: "readers".into(),
        role: "prefill".into(),
        data_centre: "olinda".into(),
        address: "127.0.0.1:2".into(),
        state: "live".into(),
    });

    let value = read(&platform, "/v1/vms?since=0").await;

    assert_eq!(value["revision"], 5);
    assert_eq!(value["vms"].as_array().map(Vec::len), Some(1));
    assert_eq!(value["vms"][0]["state"], "leaving");
    assert_eq!(value["upstreams"][0]["role"], "prefill");
}

/// Guards against a platform that accepts connections while it is offline, or loses its content.
#[tokio::test]
async fn platform_goes_down_and_comes_back() {
    let platform = platform().await;
    platform.put_document("a", "one").unwrap();

    platform.go_offline().await;
    let refused = connect(platform.addr()).await;
    platform.go_online().await.unwrap();
    let value = read(&platform, "/v1/documents?since=0").await;

    assert!(refused.is_err());
    assert_eq!(value["revision"], 1);
}

/// Guards against a read limit that is not enforced, and against accepting documents over 1 MB.
#[tokio::test]
async fn limits_of_the_platform() {
    let options = PlatformOptions {
        reads_per_second: 0,
        ..PlatformOptions::default()
    };
    let platform = Platform::spawn(options).await.unwrap();

    let (status, _) = call(platform.addr(), "GET", "/v1/vms?since=0", Value::Null).await;
    let write = platform.put_document("a", &"x".repeat(1_000_001));

    assert_eq!(status, 429);
    assert_eq!(platform.refused_reads(), 1);
    assert!(write.is_err());
}
