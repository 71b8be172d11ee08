//! Trace spans: one for each hop, in the trace context of the caller.

use std::time::Duration;

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};

/// How often finished spans are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a span in the trace context of `traceparent`, or in a new trace without sampling.
///
/// The second value is the `traceparent` header for the next hop.
pub fn hop(name: &'static str, traceparent: Option<&str>) -> (Span, String) {
    let parent = traceparent.and_then(SpanContext::decode_w3c_traceparent);
    let parent = parent.unwrap_or_else(|| SpanContext::random().sampled(false));
    let span = Span::root(name, parent);
    // Without a collector or a sampled context the span is not recorded, so it cannot be the
    // parent of the next hop.
    let next = SpanContext::from_span(&span).unwrap_or(parent);
    (span, next.encode_w3c_traceparent())
}

/// Starts to send finished spans to `reporter`.
pub fn init_tracing(reporter: impl Reporter) {
    let config = Config::default().report_interval(REPORT_INTERVAL);
    fastrace::set_reporter(reporter, config);
}

/// A reporter that writes finished spans to the log at debug level.
#[derive(Debug, Default)]
pub struct TraceLog;

impl Reporter for TraceLog {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let trace = span.trace_id.to_string();
            let name = span.name.as_ref();
            log::debug!(trace = trace.as_str(), span = name, ns = span.duration_ns; "span");
        }
    }
}
