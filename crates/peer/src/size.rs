//! Sizes of messages between hosts on the wire.

use std::pin::pin;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Request, Response, context};
use wire::Exchange;

use crate::listener::{PeerServiceRequest, PeerServiceResponse};

/// Size of a frame's length field.
const FRAME_HEADER_BYTES: usize = 4;

/// Size of an exchange sent as a call, in bytes, with the frame header but without TCP and IP
/// overhead.
pub fn call_bytes(exchange: &Exchange) -> usize {
    let message = PeerServiceRequest::Exchange { exchange: exchange.clone() };
    let context = context::current();
    encoded(&ClientMessage::Request(Request { context, id: 0, message }))
}

/// Size of an exchange sent as an answer, in bytes, with the frame header.
pub fn answer_bytes(exchange: &Exchange) -> usize {
    let message = Ok(PeerServiceResponse::Exchange(exchange.clone()));
    encoded(&Response { request_id: 0, message })
}

fn encoded<T: serde::Serialize>(message: &T) -> usize {
    let codec = pin!(Bincode::<(), T>::default());
    codec.serialize(message).map_or(0, |b| b.len() + FRAME_HEADER_BYTES)
}
