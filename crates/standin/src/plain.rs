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

use crate::http::{self, Body, ConnectionClosed, HandlerResult, error_response, json_response};
use crate::server::{Handler, Server, WeakServer, lock};

/// The key under which requests without an `Idempotency-Key` header are counted.
const NO_KEY: &str = "";

/// The options of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainOptions {
    /// The port on the loopback address; 0 chooses a free one.
    pub port: u16,
    /// How long the service takes to run one request.
    pub service_time: Duration,
    /// The faults at the start.
    pub faults: PlainFaults,
}

/// The faults that a plain service injects, which can be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct PlainFaults {
    /// Closes the connection without running the request.
    pub fail_before: bool,
    /// Runs the request and closes the connection without a response.
    pub fail_after: bool,
    /// Responds with this status without running the request.
    pub status: Option<u16>,
    /// Runs the request and never responds.
    pub silent_after: bool,
    /// A request whose body contains this text crashes the service when its run starts.
    pub poison: Option<String>,
}

#[derive(Default)]
struct State {
    faults: PlainFaults,
    /// The number of runs by idempotency key.
    runs: BTreeMap<String, u32>,
    total_runs: u64,
}

/// A running plain service, which stops when it is dropped.
pub struct Plain {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// What the handlers of all requests share.
struct Context {
    service_time: Duration,
    state: Arc<Mutex<State>>,
    server: std::sync::OnceLock<WeakServer>,
}

impl Plain {
    /// Starts a service on a free loopback port, or on the port that `options` name.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn spawn(options: PlainOptions) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            faults: options.faults,
            ..State::default()
        }));
        let context = Arc::new(Context {
            service_time: options.service_time,
            state: state.clone(),
            server: std::sync::OnceLock::new(),
        });
        let handler: Handler = {
            let context = context.clone();
            Arc::new(move |shutdown, request| {
                let context = context.clone();
                Box::pin(handle(context, shutdown, request))
            })
        };
        let server = Server::spawn(options.port, handler).await?;
        let _ = context.server.set(server.downgrade());
        Ok(Self { server, state })
    }

    /// Returns the address on which the service listens, also while it is down.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the service and releases its port.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Simulates a crash: closes every connection and refuses new ones.
    pub async fn crash(&self) {
        self.server.crash().await;
    }

    /// Listens again on the same port after [`Self::crash`]; the counters keep their values.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Accepts connections and sends nothing while `silent` is true.
    ///
    /// Requests that arrived or ran in the meantime stay silent afterwards.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
    }

    /// Makes all open connections silent until they close; new connections work.
    pub fn freeze_open_connections(&self) {
        self.server.freeze_open_connections();
    }

    /// Delays every request before its run.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Changes the faults that the service injects.
    pub fn update_faults(&self, update: impl FnOnce(&mut PlainFaults)) {
        update(&mut lock(&self.state).faults);
    }

    /// Returns how often requests with this `Idempotency-Key` ran.
    ///
    /// The empty key counts the requests without the header.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        lock(&self.state).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all requests.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        lock(&self.state).total_runs
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn handle(
    context: Arc<Context>,
    shutdown: CancellationToken,
    request: Request<Incoming>,
) -> HandlerResult {
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let key = idempotency_key(request.headers());
    let body = match http::read_body(request).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => return Ok(error.response()),
    };
    let faults = lock(&context.state).faults.clone();
    if faults.fail_before {
        return Err(ConnectionClosed);
    }
    if let Some(status) = faults.status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        return Ok(error_response(status, "not run"));
    }
    // The request runs in its own task, so that closing the connection does not cancel it.
    let service_time = context.service_time;
    let poison = faults.poison.clone();
    let run = tokio::spawn(shutdown.run_until_cancelled_owned(async move {
        let run = count_run(&context.state, key);
        if crash_on_poison(&context, poison.as_deref(), &body) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(service_time).await;
        (run, body)
    }));
    let (run, body) = run.await.ok().flatten().ok_or(ConnectionClosed)?;
    if faults.fail_after {
        return Err(ConnectionClosed);
    }
    if faults.silent_after {
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
            server.crash().await;
        }
    });
    true
}

fn count_run(state: &Mutex<State>, key: String) -> u32 {
    let mut state = lock(state);
    state.total_runs += 1;
    let runs = state.runs.entry(key).or_default();
    *runs += 1;
    *runs
}

fn echo(method: &str, path: &str, body: &str, run: u32) -> Response<Body> {
    let value = json!({ "method": method, "path": path, "body": body, "run": run });
    json_response(StatusCode::OK, &value)
}
