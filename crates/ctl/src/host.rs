//! Queries hosts over their admin endpoints.

use base::Ms;
use hyper::Request;
use link::{Pool, PoolConfig};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use wire::{FleetObject, Member, MemberList};

use crate::CtlError;

/// Time without a response after which a call to a host fails.
const HOST_TIMEOUT: Ms = Ms::secs(2);
/// Largest response body that is read. A configuration object is at most a megabyte, and JSON
/// escapes may double it.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The member list of the host at `addr`.
pub async fn members(addr: SocketAddr) -> Result<Vec<Member>, CtlError> {
    get::<MemberList>(addr, "/members").await.map(|list| list.members)
}

/// The configuration object that the host at `addr` has. Also available during an outage of the
/// platform.
pub async fn fleet(addr: SocketAddr) -> Result<FleetObject, CtlError> {
    get(addr, "/fleet").await
}

async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &'static str) -> Result<T, CtlError> {
    let mut request = Request::new(bytes::Bytes::new());
    *request.uri_mut() = hyper::Uri::from_static(path);
    let host = hyper::header::HeaderValue::from_static("admin");
    request.headers_mut().insert(hyper::header::HOST, host);
    let pool = Pool::new(addr, PoolConfig::default());
    let response = link::call(&pool, request, HOST_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .map_err(|source| CtlError::HostUnreachable { addr, source })?;
    let status = response.status().as_u16();
    match status {
        200 => serde_json::from_slice(response.body()).map_err(|_| CtlError::BadResponse {
            addr,
            path,
            status: 0,
        }),
        _ => Err(CtlError::BadResponse { addr, path, status }),
    }
}
