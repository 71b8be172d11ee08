//! Model requests through a router to stand-ins for engines.

mod common;

use common::{FleetOptions, expected};

/// Guards against a streamed answer that is incomplete or differs from the engines' output.
#[tokio::test]
async fn streams_a_whole_answer() {
    let fleet = FleetOptions::default().start().await;

    let answer = fleet.chat("Good morning", 40, true).await;
    let status = answer.status;
    let events = answer.events().await;

    assert_eq!(status, 200);
    assert_eq!(events.text, expected("Good morning", 40));
    assert_eq!(events.finish.as_deref(), Some("length"));
    assert_eq!(events.usage.unwrap()["completion_tokens"], 40);
    assert!(events.done);
    fleet.nothing_held().await;
}

/// Guards against a wrong body format for callers that do not ask for a stream.
#[tokio::test]
async fn answers_in_one_json() {
    let fleet = FleetOptions::default().start().await;

    let answer = fleet.chat("Good evening", 12, false).await;
    let json = answer.json().await;

    let message = &json["choices"][0]["message"];
    assert_eq!(message["content"], expected("Good evening", 12));
    assert_eq!(json["usage"]["completion_tokens"], 12);
    assert_eq!(json["object"], "chat.completion");
}

/// Guards against a model list that lacks the models of the caller's organisation or contains
/// those of others.
#[tokio::test]
async fn lists_the_models_of_an_organisation() {
    let fleet = FleetOptions::default().start().await;

    let answer = common::post(fleet.server.addr(), "/v1/models", &[], String::new()).await;
    let json = answer.json().await;

    assert_eq!(json["data"].as_array().map(Vec::len), Some(1));
    assert_eq!(json["data"][0]["id"], "chat");
}
