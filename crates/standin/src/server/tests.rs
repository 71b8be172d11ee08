use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::*;

/// Guards against a panic of a server whose engine crashes: the end of the body is then held back, and it is polled
/// again.
#[tokio::test]
async fn a_body_may_be_polled_after_its_end() {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut body = channel_body(receiver);
    sender.send(Bytes::from("one")).unwrap();
    drop(sender);

    let first = body.frame().await.unwrap().unwrap();

    assert_eq!(first.into_data().unwrap(), "one");
    assert!(body.frame().await.is_none());
    assert!(body.frame().await.is_none());
}
