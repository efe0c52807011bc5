/**
Default timings and bounds of a replica group on a near network.
*/

/**
Milliseconds between a leader's heartbeats to a member that has yet to confirm something; also the time after which
unanswered entries are sent again.
*/
export const HEARTBEAT_INTERVAL_MILLISECONDS = 150;
/**
Milliseconds between a leader's heartbeats to a voter that has confirmed everything: two may be lost within the shortest
election timeout.
*/
export const IDLE_HEARTBEAT_INTERVAL_MILLISECONDS = 400;
/**
Milliseconds between a leader's heartbeats to a learner that has confirmed everything: learners neither vote nor start elections, so they need fewer.
*/
export const LEARNER_HEARTBEAT_INTERVAL_MILLISECONDS = 600;
/**
Shortest election timeout in milliseconds. A leader that hears no quorum for this long steps down, and a follower that
heard its leader within it ignores votes.
*/
export const MIN_ELECTION_TIMEOUT_MILLISECONDS = 1000;
/**
Longest election timeout in milliseconds. Each timeout is drawn anew, so that two followers rarely start together.
*/
export const MAX_ELECTION_TIMEOUT_MILLISECONDS = 2000;
/**
Milliseconds before a snapshot that was not answered is sent again.
*/
export const SNAPSHOT_RETRY_MILLISECONDS = 2000;
/**
Most entries in one append message.
*/
export const MAX_BATCH_ENTRIES = 128;
/**
Most bytes of commands (as JSON) in one append message, unless a single command is larger.
*/
export const MAX_BATCH_BYTES = 262_144;
/**
Most unanswered append messages with entries per follower.
*/
export const MAX_WINDOW_MESSAGES = 8;
/**
Most proposals that wait for their commit; more are refused.
*/
export const MAX_PENDING_PROPOSALS = 4096;
/**
Most linearizable reads that wait; more are refused.
*/
export const MAX_PENDING_READS = 4096;
/**
Largest command in bytes of JSON, unless a group's settings say otherwise.
*/
export const MAX_COMMAND_BYTES = 1_048_576;
/**
Largest snapshot in bytes of JSON: it travels in one message.
*/
export const MAX_SNAPSHOT_BYTES = 33_554_432;
/**
Bytes of log after the snapshot at which a new snapshot is asked for, or the size of the last snapshot if that is
larger: disk and restart stay proportional to the live state, and the cost of snapshots to that of the commands.
*/
export const MIN_COMPACTION_BYTES = 65_536;
/**
Entries kept in memory after a compaction, so that a follower slightly behind needs no snapshot.
*/
export const RETAINED_ENTRIES = 256;
/**
Milliseconds between the announcements of a host that is not yet a member.
*/
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1000;
/**
Milliseconds after which a host that was not heard counts as unreachable for repairs.
*/
export const REACHABLE_MILLISECONDS = 3000;
