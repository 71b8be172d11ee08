//! Reports of what organisations asked for.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use coord::limit::LimitReport;

use super::PeerExchange;
use crate::gateway::crash_watch::MemoryReport;

impl PeerExchange {
    /// Sends in a heartbeat to all peers what organisations asked for since the last one, and to newcomers all that
    /// is known. These reports go in datagrams of their own, which bounds the size of each.
    pub(super) async fn send_allowances(
        &self,
        all: &[SocketAddr],
        newcomers: &[SocketAddr],
        heartbeat: bool,
    ) {
        let now = self.ctx.now();
        let (changes, page) = {
            let table = &mut self.ctx.state().allowances;
            let changes = heartbeat.then(|| table.next_records(now));
            (changes.unwrap_or_default(), table.page(now))
        };
        for (allowances, targets) in [(changes, all), (page, newcomers)] {
            if allowances.is_empty() || targets.is_empty() {
                continue;
            }
            let report = LimitReport {
                allowances,
                ..self.limit_report()
            };
            self.socket.send(&report, targets).await;
        }
    }

    /// Tells gateways that are heard for the first time how far back the crashes are known that they were just told.
    pub(super) async fn send_memory(&self, newcomers: &[SocketAddr]) {
        if !newcomers.is_empty() {
            let report = MemoryReport::of(&self.ctx);
            self.socket.send(&report, newcomers).await;
        }
    }

    /// Returns a report of limits without records.
    pub(super) fn limit_report(&self) -> LimitReport<SocketAddr> {
        let gateways = self.ctx.state().loads.fleet().reported(self.ctx.now());
        LimitReport {
            start: self.start,
            sequence: self.number.fetch_add(1, Ordering::Relaxed),
            gateways: gateways.and_then(|size| u32::try_from(size).ok()),
            limits: Vec::new(),
            retries: Vec::new(),
            allowances: Vec::new(),
        }
    }
}
