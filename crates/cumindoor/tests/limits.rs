//! Limits of a document on single requests, and settings of groups of upstreams.

mod common;

use common::FleetOptions;
use common::nodes::{Nodes, document};
use common::{chat_body, expected, post, wait_until};

/// Guards against a request over the limits of its service that reaches an engine, and against a
/// request without `max_tokens` that is refused because the default exceeds the limit.
#[tokio::test]
async fn refuses_requests_over_the_limits_of_their_service() {
    let mut plan = FleetOptions::default();
    plan.services[0].max_prompt = 100;
    plan.services[0].max_output = 20;
    let fleet = plan.start().await;
    let long = "word ".repeat(200);

    for (text, tokens, reason) in [
        (long.as_str(), 5, "prompt-too-long"),
        ("Hi", 21, "output-too-long"),
    ] {
        let answer = fleet.chat(text, tokens, false).await;
        assert_eq!(answer.status, 400);
        let error = answer.json().await["error"].clone();
        assert_eq!(
            (&error["kind"], &error["reason"]),
            (&"not-run".into(), &reason.into())
        );
    }
    assert!(fleet.engines().all(|engine| engine.counts().prefills == 0));
    let body = chat_body("Hi", 20, false).replace("\"max_tokens\":20,", "");
    let answer = post(fleet.server.addr(), "/v1/chat/completions", &[], body).await;

    let text = answer.json().await["choices"][0]["message"]["content"].clone();
    assert_eq!(text, expected("Hi", 20));
}

/// Guards against VMs that use different settings for a group that two documents declare.
///
/// The document that is first by name must apply, whichever document arrives first.
#[tokio::test]
async fn the_first_document_that_declares_a_group_counts() {
    let nodes = Nodes::start(2, 20).await;
    let other = |name: &str, slots| document(slots).replace("name = celeste", name);

    nodes.put_document("souk", 2, &other("name = souk", 5));
    nodes.put_document("aldeia", 3, &other("name = aldeia", 7));
    let in_force = |vm: &common::nodes::Vm| vm.node.in_force().len() == 3;
    wait_until("all documents are in force", || {
        nodes.vms.values().all(in_force)
    })
    .await;

    let slots = |vm: &common::nodes::Vm| {
        let engines = vm.node.server().context().table.engines();
        engines.iter().all(|engine| engine.slots == 7)
    };
    wait_until("the first one counts", || nodes.vms.values().all(slots)).await;
}

/// Guards against two organisations that share upstreams because their services have the same name.
///
/// The group of the second organisation has no engine, so its request must be refused.
#[tokio::test]
async fn services_of_the_same_name_do_not_share_upstreams() {
    let nodes = Nodes::start(1, 20).await;
    let text = document(20)
        .replace("name = celeste", "name = souk")
        .replace("upstreams = chat", "upstreams = bazaar")
        .replace("[upstreams chat]", "[upstreams bazaar]");
    nodes.put_document("souk", 2, &text);
    let vm = &nodes.vms["vm-1"];
    wait_until("the document is in force", || vm.node.in_force().len() == 2).await;
    let body = chat_body("Whose engine?", 5, false);
    let mut request = common::request("/v1/chat/completions", &[], body);
    request
        .headers_mut()
        .insert("x-organisation", "souk".parse().unwrap());

    let answer = common::send(vm.node.addr(), request).await.unwrap();
    let status = answer.status;
    let error = answer.json().await["error"].clone();

    assert_eq!(status, 503);
    assert_eq!(error["kind"], "not-run");
    assert!(
        nodes
            .prefills
            .iter()
            .all(|engine| engine.counts().prefills == 0)
    );
}
