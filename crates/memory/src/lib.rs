//! The bytes that a process holds for those who connect to it, in one budget.
//!
//! A connection has an [`Account`]. What is held for it is charged to it, from the first byte read to the
//! last one written: its buffers, the body of its request and the answer. [`Ledger`] decides who gets bytes
//! and who yields; it knows neither clock nor network.

mod account;
mod budget;
mod ledger;
mod machine;

pub use account::{Account, Charge, Full};
pub use budget::{Budget, Places};
pub use ledger::{
    BLOCKED_BYTES, CONNECTION_BYTES, Class, Group, Ledger, Phase, Purpose, STALL_TIME, Verdict,
};
pub use machine::budget_bytes;
