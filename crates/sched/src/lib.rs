//! Decisions under load of the edge hosts, without network or clock.
//!
//! | module | answers | without it |
//! |---|---|---|
//! | [`batch`] | many small stage calls with a high fixed cost, from many hosts | targets are full at a third of what they can do |
//! | [`offload`] | a region that is full beside one that idles | each region's callers wait behind their own targets |
//! | [`estimate`] | several stages under one aim | the first stage eats the last one's time |
//! | [`placement`] | engines with prompt caches; services near and far | prompts are read again, answers cross regions |
//! | [`prefill`] | long prompts among short ones | a short one waits behind three long ones beside an idle engine |
//! | [`directory`] | more subjects than requests about each | engines read what another has just read |
//! | [`health`] | a target that fails, is dark or slow | work goes on flowing to it |
//! | [`budget`] | failing targets and repeated sends | repeats multiply the load when it hurts |
//! | [`poison`] | a request that crashes whatever runs it | its re-sends take the targets down in turn |
//! | [`sample`] | a burst of ordinary successes | logs take the processor's time |
//! | [`assignment`] | few large hosts among many small ones | what one host does for many falls to a small one |
//! | [`store_reader`] | hundreds of hosts that follow one store | its load grows with the fleet; a change wakes all hosts there |
//! | [`retry_after`] | refused callers | they return at once, or all together |
//! | [`limit`] | a target in need that says how much it takes from all hosts | each host goes on sending its full share |
//! | [`evacuation`] | a failure domain that is emptied, from several sources | old word brings work back to it |
//! | [`roster`] | a cut through the fleet | each side takes the whole of a common limit |
//! | [`warmup`] | targets that come back cold into a burst | they fall over again |

pub mod assignment;
pub mod batch;
pub mod budget;
pub mod directory;
pub mod estimate;
pub mod evacuation;
pub mod health;
pub mod limit;
pub mod offload;
pub mod placement;
pub mod poison;
pub mod prefill;
pub mod retry_after;
pub mod roster;
pub mod sample;
pub mod store_reader;
pub mod warmup;
