//! Planned shutdown. The signal reaches the whole test process, so this file has only one test.

mod common;

use std::process::Command;

use common::{FleetOptions, expected, wait_until, with_timeout};
use tokio::net::TcpStream;

fn terminate() {
    let pid = std::process::id().to_string();
    let status = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(status.unwrap().success());
}

/// Guards against streams that are interrupted by the first or a further SIGTERM.
#[tokio::test]
async fn finishes_running_streams_after_sigterm() {
    let fleet = FleetOptions::default().start().await;
    let (running, _) = fleet.stalled_chat("Last words", 60).await;
    let addr = fleet.server.addr();
    let stop = fleet.server.run_until_signal();
    let signals = async {
        terminate();
        let refused = async {
            while TcpStream::connect(addr).await.is_ok() {
                tokio::task::yield_now().await;
            }
        };
        with_timeout("the listener closes", refused).await;
        terminate();
        terminate();
        assert!(!running.is_finished());
        fleet.resume_decodes();
        with_timeout("the running stream", running).await.unwrap()
    };

    let (complete, events) = tokio::join!(stop, signals);

    assert!(complete.unwrap());
    assert_eq!(events.text, expected("Last words", 60));
    assert!(events.done);
    wait_until("the router is idle", || fleet.router_idle()).await;
    fleet.nothing_held().await;
}
