/**
Default timings and bounds of a replica group on a near network.
*/

/**
Milliseconds between a leader's heartbeats to a member that has yet to confirm something; also the time after which
unanswered entries are sent again.
*/
export const HEARTBEAT_MS = 150;
/**
Milliseconds between a leader's heartbeats to a voter that has confirmed everything: two may be lost within the shortest
election timeout.
*/
export const IDLE_HEARTBEAT_MS = 400;
/**
Milliseconds between a leader's heartbeats to a learner that has confirmed everything: learners neither vote nor start elections, so they need fewer.
*/
export const LEARNER_HEARTBEAT_MS = 600;
/**
Shortest election timeout in milliseconds. A leader that hears no quorum for this long steps down, and a follower that
heard its leader within it ignores votes.
*/
export const ELECTION_TIMEOUT_MIN_MS = 1000;
/**
Longest election timeout in milliseconds. Each timeout is drawn anew, so that two followers rarely start together.
*/
export const ELECTION_TIMEOUT_MAX_MS = 2000;
/**
Milliseconds before a snapshot that was not answered is sent again.
*/
export const SNAPSHOT_RETRY_MS = 2000;
/**
Most entries in one append message.
*/
export const BATCH_ENTRIES_MAX = 128;
/**
Most bytes of commands (as JSON) in one append message, unless a single command is larger.
*/
export const BATCH_BYTES_MAX = 262_144;
/**
Most unanswered append messages with entries per follower.
*/
export const WINDOW_MESSAGES_MAX = 8;
/**
Most proposals that wait for their commit; more are refused.
*/
export const PENDING_PROPOSALS_MAX = 4096;
/**
Most linearizable reads that wait; more are refused.
*/
export const PENDING_READS_MAX = 4096;
/**
Largest command in bytes of JSON, unless a group's settings say otherwise.
*/
export const COMMAND_BYTES_MAX = 1_048_576;
/**
Largest snapshot in bytes of JSON: it travels in one message.
*/
export const SNAPSHOT_BYTES_MAX = 33_554_432;
/**
Bytes of log after the snapshot at which a new snapshot is asked for, or the size of the last snapshot if that is
larger: disk and restart stay proportional to the live state, and the cost of snapshots to that of the commands.
*/
export const COMPACTION_BYTES_MIN = 65_536;
/**
Entries kept in memory after a compaction, so that a follower slightly behind needs no snapshot.
*/
export const RETAINED_ENTRIES = 256;
/**
Milliseconds between the announcements of a host that is not yet a member.
*/
export const ANNOUNCE_MS = 1000;
/**
Milliseconds after which a host that was not heard counts as unreachable for repairs.
*/
export const REACHABLE_MS = 3000;
