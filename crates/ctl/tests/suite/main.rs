//! Tests of configuration changes and reports, with a platform in memory and over HTTP.

mod account;
mod apply;
mod diff;
mod fuzz;
mod platform;
mod size;
mod support;
mod timeline;
