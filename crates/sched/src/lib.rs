//! Scheduling decisions of the edge hosts under load. The code here uses neither the network nor a
//! clock: callers pass in the current time and carry out what is decided.
//!
//! Each module handles one situation. The last column tells what happens without it.
//!
//! | module | situation | without the module |
//! |---|---|---|
//! | [`admission`] | more requests with several stages than the targets can serve | targets work on requests that are given up at a later stage |
//! | [`batch`] | many hosts send small stage calls, each with a high fixed cost | targets are saturated at a third of their capacity |
//! | [`batch`] | results of composers that are gone fill the targets | a new composer sends call after call to full targets |
//! | [`offload`] | one region is full while another is idle | the callers of each region wait for its own targets |
//! | [`estimate`] | several stages share one latency goal | the first stage uses up the time of the last one |
//! | [`placement`] | inference engines with prompt caches; targets near and far | prompts are processed again, responses cross regions |
//! | [`placement::paced`] | targets differ in speed; hundreds of hosts act on the same figure | slow targets hold up a third of the requests, or all hosts send to the one that looks idle |
//! | [`placement::engines`] | engines differ in speed; one region is full beside an idle one | requests stay at a nearly full or slow engine because it is nearer |
//! | [`pace`] | a target's speed changes many times a second | a target is avoided, or used, for what it was a while ago |
//! | [`prefill`] | long prompts mixed with short ones | a short prompt waits behind three long ones while the next engine is idle |
//! | [`directory`] | more subjects than requests for each of them | engines process prompts that another engine has just processed |
//! | [`health`] | a target fails, is unreachable or is slow | it goes on getting work |
//! | [`holders`] | hosts die while results wait for them | the results fill the targets until they expire |
//! | [`budget`] | targets fail and requests are retried | retries multiply the load on a service that is already failing |
//! | [`reach`] | a host has lost its links to all targets of a service | it refuses what other hosts could serve |
//! | [`connections`] | a target accepts a limited number of connections from all hosts together | each host opens what it wants, and the target resets connections with requests on them |
//! | [`detour`] | a host that is cut off needs a way through others | it waits for hosts that are cut off too |
//! | [`suspects`] | a part of prompts ends every engine that begins to answer it | new requests with it take down one engine after the other |
//! | [`suspects::moment`] | such a part ends many engines at one moment | it counts as an outage until the next engines end |
//! | [`sound`] | sound requests share parts with those that end engines | sound requests are refused with them |
//! | [`origins`] | callers take streams up at other hosts, while targets of several software versions serve | streams go on at another version, or not at all |
//! | [`sample`] | a burst of ordinary successes | logging uses up the processor time |
//! | [`assignment`] | a few large hosts among many small ones | a small host gets the work that one host does for all others |
//! | [`store_reader`] | hundreds of hosts follow one store | the store's load grows with the fleet, and each change wakes all hosts there |
//! | [`retry_after`] | callers are refused | they retry at once, or all at the same moment |
//! | [`limit`] | an overloaded target announces the rate that it accepts from all hosts together | each host goes on sending its full share |
//! | [`evacuation`] | a failure domain is evacuated, and hosts learn of it from several sources | outdated information sends work back to the domain |
//! | [`roster`] | a network partition | each side uses the whole of a shared limit |
//! | [`warmup`] | targets restart cold during a burst | they crash again |

pub mod admission;
pub mod assignment;
pub mod batch;
pub mod budget;
pub mod connections;
pub mod detour;
pub mod directory;
pub mod estimate;
pub mod evacuation;
pub mod health;
pub mod holders;
pub mod limit;
pub mod offload;
pub mod origins;
pub mod pace;
pub mod placement;
pub mod prefill;
pub mod reach;
pub mod retry_after;
pub mod roster;
pub mod sample;
pub mod sound;
pub mod store_reader;
pub mod suspects;
pub mod warmup;
