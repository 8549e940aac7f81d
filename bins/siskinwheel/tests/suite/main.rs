//! Tests of the program as operators run it.

mod commands;
mod env;
mod pages;
mod usage;
