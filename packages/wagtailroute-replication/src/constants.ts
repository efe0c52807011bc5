/**
Default timings and limits of a replica group within one region.
*/

/**
Interval of a leader's heartbeats to a member with unacknowledged entries; also the delay before a loss of these entries is found.
*/
export const HEARTBEAT_INTERVAL_MILLISECONDS = 150;
/**
Interval of a leader's heartbeats to a voter that has acknowledged all entries. Two heartbeats fit into the minimum election
timeout, so that a single lost one starts no election.
*/
export const IDLE_HEARTBEAT_INTERVAL_MILLISECONDS = 400;
/**
Interval of a leader's heartbeats to a learner that has acknowledged all entries. Learners neither vote nor start elections,
so they need fewer.
*/
export const LEARNER_HEARTBEAT_INTERVAL_MILLISECONDS = 600;
/**
Minimum election timeout. A leader without responses from a quorum for this long steps down, and a follower that has heard
from its leader within it ignores vote requests.
*/
export const MIN_ELECTION_TIMEOUT_MILLISECONDS = 1000;
/**
Maximum election timeout. Each timeout is drawn at random, so that two followers rarely start an election together.
*/
export const MAX_ELECTION_TIMEOUT_MILLISECONDS = 2000;
/**
Age of a snapshot from which on any answer other than its acknowledgement means that it was lost.
*/
export const SNAPSHOT_RETRY_MILLISECONDS = 2000;
/**
Maximum number of entries in an append message.
*/
export const MAX_BATCH_ENTRIES = 128;
/**
Maximum size of the entries of an append message, in bytes of JSON; a single larger entry is sent alone.
*/
export const MAX_BATCH_BYTES = 262_144;
/**
Maximum number of unacknowledged append messages with entries per follower.
*/
export const MAX_WINDOW_MESSAGES = 8;
/**
Maximum number of uncommitted proposals; further ones are refused.
*/
export const MAX_PENDING_PROPOSALS = 4096;
/**
Maximum number of queued linearizable reads; further ones are refused.
*/
export const MAX_PENDING_READS = 4096;
/**
Default for the maximum size of a command, in bytes of JSON.
*/
export const MAX_COMMAND_BYTES = 1_048_576;
/**
Maximum size of a snapshot, in bytes of JSON; a snapshot is sent in one message.
*/
export const MAX_SNAPSHOT_BYTES = 33_554_432;
/**
A snapshot is requested once the entries since the last one exceed this size or that of the last snapshot, whichever is
larger. Disk use and restart time thus stay proportional to the live state, and the cost of snapshots to that of the commands.
*/
export const MIN_COMPACTION_BYTES = 65_536;
/**
Number of entries kept in memory after a compaction, so that a follower slightly behind needs no snapshot.
*/
export const RETAINED_ENTRIES = 256;
/**
Maximum size of these entries, in bytes of JSON. Otherwise large commands would take hundreds of times the memory of the state.
*/
export const MAX_RETAINED_BYTES = 4_194_304;
/**
Interval of the announcements of a host that has no group or no leader.
*/
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1000;
/**
A host that sent nothing for this long counts as unreachable when repairs are planned.
*/
export const REACHABLE_MILLISECONDS = 3000;
