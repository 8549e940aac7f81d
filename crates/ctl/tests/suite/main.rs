//! Changes of the configuration, over the platform in memory and over HTTP.

mod account;
mod apply;
mod diff;
mod fuzz;
mod platform;
mod size;
mod support;
mod timeline;
