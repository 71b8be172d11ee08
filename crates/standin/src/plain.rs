//! A plain service that echoes requests and counts its runs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http::{self, Answer, Body, Closed, error_answer, json_answer};
use crate::server::{Handler, Server, WeakServer, lock};

/// Key under which runs without an `Idempotency-Key` are counted.
const NO_KEY: &str = "";

/// Speeds of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainOptions {
    /// Port on the loopback address; 0 chooses a free one.
    pub port: u16,
    /// How long one run takes.
    pub work: Duration,
    /// The first fault switches.
    pub fault: PlainFault,
}

/// Fault switches that can be changed while the service runs.
#[derive(Clone, Debug, Default)]
pub struct PlainFault {
    /// Closes the connection before the run: the work does not happen.
    pub fail_before: bool,
    /// Closes the connection after the run: the work happened, the answer is lost.
    pub fail_after: bool,
    /// Answers with this status instead of running.
    pub status: Option<u16>,
    /// Never answers after the run.
    pub silent_after: bool,
    /// A body that contains this text crashes the service when its run starts.
    pub poison: Option<String>,
}

#[derive(Default)]
struct State {
    fault: PlainFault,
    runs: BTreeMap<String, u32>,
    total: u64,
}

/// A running plain service; dropping it ends it.
pub struct Plain {
    server: Server,
    state: Arc<Mutex<State>>,
}

struct Context {
    work: Duration,
    state: Arc<Mutex<State>>,
    server: std::sync::OnceLock<WeakServer>,
}

impl Plain {
    /// Starts a service on a free loopback port, or on the port that `options` name.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn spawn(options: PlainOptions) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            fault: options.fault,
            ..State::default()
        }));
        let context = Arc::new(Context {
            work: options.work,
            state: state.clone(),
            server: std::sync::OnceLock::new(),
        });
        let handler: Handler = {
            let context = context.clone();
            Arc::new(move |life, request| {
                let context = context.clone();
                Box::pin(answer(context, life, request))
            })
        };
        let server = Server::spawn(options.port, handler).await?;
        let _ = context.server.set(server.downgrade());
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends the service and gives its port back.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Dies: closes every connection and refuses new ones.
    pub async fn die(&self) {
        self.server.die().await;
    }

    /// Comes back on the same port; the counters keep their values.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn revive(&self) -> io::Result<()> {
        self.server.revive().await
    }

    /// Accepts connections and answers nothing while `silent` is true.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
    }

    /// Makes all open connections silent for good; new connections work.
    pub fn freeze_open(&self) {
        self.server.freeze_open();
    }

    /// Delays every request before its run.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Changes the fault switches.
    pub fn fault(&self, change: impl FnOnce(&mut PlainFault)) {
        change(&mut lock(&self.state).fault);
    }

    /// Returns how often a request with this `Idempotency-Key` ran; the empty key counts the
    /// requests without one.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        lock(&self.state).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the runs of all requests.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        lock(&self.state).total
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn answer(
    context: Arc<Context>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Answer {
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let key = idempotency_key(request.headers());
    let body = match http::read_body(request).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(refusal) => return Ok(refusal.answer()),
    };
    let fault = lock(&context.state).fault.clone();
    if fault.fail_before {
        return Err(Closed);
    }
    if let Some(status) = fault.status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        return Ok(error_answer(status, "not run"));
    }
    // A task of its own: a closed connection does not undo a run.
    let work = context.work;
    let poison = fault.poison.clone();
    let run = tokio::spawn(life.run_until_cancelled_owned(async move {
        let run = count_run(&context.state, key);
        if crash_on_poison(&context, poison.as_deref(), &body) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(work).await;
        (run, body)
    }));
    let (run, body) = run.await.ok().flatten().ok_or(Closed)?;
    if fault.fail_after {
        return Err(Closed);
    }
    if fault.silent_after {
        std::future::pending::<()>().await;
    }
    Ok(echo(&method, &path, &body, run))
}

fn idempotency_key(headers: &HeaderMap) -> String {
    let key = headers.get("idempotency-key").map(HeaderValue::as_bytes);
    String::from_utf8_lossy(key.unwrap_or(NO_KEY.as_bytes())).into_owned()
}

fn crash_on_poison(context: &Arc<Context>, poison: Option<&str>, body: &str) -> bool {
    if !poison.is_some_and(|poison| body.contains(poison)) {
        return false;
    }
    let context = context.clone();
    tokio::spawn(async move {
        if let Some(server) = context.server.get().and_then(WeakServer::upgrade) {
            server.die().await;
        }
    });
    true
}

fn count_run(state: &Mutex<State>, key: String) -> u32 {
    let mut state = lock(state);
    state.total += 1;
    let runs = state.runs.entry(key).or_default();
    *runs += 1;
    *runs
}

fn echo(method: &str, path: &str, body: &str, run: u32) -> Response<Body> {
    let value = json!({ "method": method, "path": path, "body": body, "run": run });
    json_answer(StatusCode::OK, &value)
}
