//! Cancels on engines whose process has ended.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use common::{FleetOptions, with_timeout};

/// Guards against a graceful stop that waits for cancels on an engine that has ended. A refused
/// connection must end the retries; otherwise this cancel would be retried for an hour.
#[tokio::test]
async fn a_refused_cancel_is_not_retried() {
    let mut plan = FleetOptions::default();
    plan.serve.timeouts.cancel_total = Duration::from_hours(1);
    let fleet = plan.start().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let canceller = &fleet.server.context().canceller;

    canceller.cancel(closed, "0-1".to_owned());

    with_timeout("the cancel is given up", canceller.wait_until_empty()).await;
}
