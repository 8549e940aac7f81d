//! Asks a target what became of a call whose connection broke or went silent.

use bytes::Bytes;
use hyper::{Request, StatusCode};
use link::{Pool, PoolConfig};
use serde::Deserialize;
use std::net::SocketAddr;
use wire::{StageCall, StageReply};

use crate::connector::{CallLimits, ProbeResult};

/// The target's response to `/v1/calls`.
#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum CallState {
    Running { tokens: u32 },
    Done { reply: Option<StageReply> },
}

/// Asks a target about a call on a new connection.
///
/// If a device between the two ends has lost track of a connection, that looks the same as a slow
/// target. Only a new connection can tell the two apart, so a target is not blamed before it was
/// asked on one.
pub(crate) async fn probe(addr: SocketAddr, call: &StageCall, limits: CallLimits) -> ProbeResult {
    let CallLimits { idle_timeout, max_bytes } = limits;
    let pool = Pool::new(addr, PoolConfig { connect_ms: idle_timeout, ..PoolConfig::default() });
    let path =
        format!("/v1/calls?request={}&stage={}&attempt={}", call.request, call.stage, call.attempt);
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = hyper::header::HeaderValue::from_static("target");
    request.headers_mut().insert(hyper::header::HOST, host);
    let Ok(response) = link::call(&pool, request, idle_timeout, max_bytes).await else {
        return ProbeResult::Unreachable;
    };
    match (response.status(), serde_json::from_slice(response.body())) {
        (StatusCode::OK, Ok(CallState::Running { tokens })) => ProbeResult::Running { tokens },
        (StatusCode::OK, Ok(CallState::Done { reply: Some(reply) })) => {
            ProbeResult::Done(Box::new(reply))
        }
        _ => ProbeResult::Lost,
    }
}
