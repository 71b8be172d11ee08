//! Cancels for engines that have ended.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use common::{FleetOptions, with_timeout};

/// Guards against a planned stop that waits for cancels of an engine that has ended: without the
/// rule, this one is tried for an hour.
#[tokio::test]
async fn a_refused_cancel_is_settled() {
    let mut plan = FleetOptions::default();
    plan.serve.times.cancel_total = Duration::from_hours(1);
    let fleet = plan.start().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).unwrap();
    let gone = listener.local_addr().unwrap();
    drop(listener);
    let canceller = &fleet.server.context().canceller;

    canceller.cancel(gone, "0-1".to_owned());

    with_timeout("the cancel is settled", canceller.idle()).await;
}
