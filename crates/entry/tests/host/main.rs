//! Tests of an entry host over real sockets, with callers on one side and fake targets and a fake
//! platform on the other.

mod caller;
mod cancel;
mod correlate;
mod fixture;
mod once;
mod silence;
mod streams;
