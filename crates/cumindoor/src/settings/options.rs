//! Conversion of the settings into the options that the `serve` module uses.

use super::Settings;
use crate::ini::Bytes;
use crate::serve::{Limits, ServeOptions, UpstreamTimeouts};

impl Settings {
    /// Returns the options of the listener for callers and of request handling.
    #[must_use]
    pub fn serve_options(&self) -> ServeOptions {
        let options = ServeOptions::new(self.vm.name.clone(), self.callers.address.0);
        ServeOptions {
            stop_limit: self.vm.stop_limit.0,
            once_retention: self.vm.once_retention.0,
            limits: self.limits(),
            timeouts: self.hop_times(),
            ..options
        }
    }

    fn limits(&self) -> Limits {
        let callers = &self.callers;
        Limits {
            connections: callers.connections.0 as usize,
            header_bytes: to_usize(callers.head_limit),
            headers: callers.header_limit.0 as usize,
            header_timeout: callers.head_time.0,
            body_bytes: to_usize(callers.body_limit),
            body_timeout: callers.body_time.0,
            plain_bytes: callers.plain_body_limit.0,
            write_stall: callers.write_stall.0,
            ..Limits::default()
        }
    }

    fn hop_times(&self) -> UpstreamTimeouts {
        let hops = &self.hops;
        UpstreamTimeouts {
            connect: hops.connect.0,
            probe_after: hops.quiet.0,
            probe: hops.probe.0,
            stall: hops.stall.0,
            import: hops.import.0,
            cancel: hops.cancel.0,
            cancel_total: hops.cancel_total.0,
            plain: hops.plain.0,
            poll: hops.poll.0,
        }
    }
}

/// Converts a size to `usize`; saturating is safe, as the upper bounds of the keys are far lower.
fn to_usize(bytes: Bytes) -> usize {
    usize::try_from(bytes.0).unwrap_or(usize::MAX)
}
