/**
Intervals, timeouts and bounds of membership.
*/

/**
Milliseconds from the start of one probe to the start of the next. Each host runs one probe at a time, so its cost
doesn't grow with the fleet; a probe that gets no answer delays the next one.
*/
export const PROBE_INTERVAL_MILLISECONDS = 700;

/**
Milliseconds from the start of a probe until it has failed.
*/
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between the direct pings of one probe; twice the longest usual round trip between regions.
*/
export const PING_INTERVAL_MILLISECONDS = 200;

/**
Milliseconds from the start of a probe to each round of ping requests, which ask other hosts to ping the target.
*/
export const PING_REQUEST_DELAYS_MILLISECONDS: readonly number[] = [400, 600, 800];

/**
Hosts that receive a ping request in each round.
*/
export const PING_REQUEST_FANOUT = 3;

/**
One in this number of probes goes to a host outside the own failure domain.
*/
export const PROBES_PER_REMOTE_PROBE = 5;

/**
One in this number of probes goes to a host with a path fault, if there is one.
*/
export const PROBES_PER_PATH_FAULT_PROBE = 3;

/**
Fleets with up to this number of other hosts are probed as one failure domain.
*/
export const MAX_SMALL_FLEET_HOSTS = 64;

/**
With up to this number of other hosts a failed probe always raises a suspicion: too few hosts can confirm that this host
is isolated, and too few exist for its suspicions to flood the fleet.
*/
export const MAX_HOSTS_WITHOUT_ISOLATION_CHECK = 3;

/**
Highest local health score; the intervals and timeouts of a probe are multiplied by 1 + score.
*/
export const MAX_LOCAL_HEALTH_SCORE = 3;

/**
Milliseconds until a suspected host is declared dead when no other host confirms the suspicion.
*/
export const MAX_SUSPICION_MILLISECONDS = 6000;

/**
Milliseconds until a suspected host is declared dead when `SUSPICION_CONFIRMATIONS` other hosts confirm the suspicion.
*/
export const MIN_SUSPICION_MILLISECONDS = 2000;

/**
Confirmations by other hosts that shorten the suspicion to its minimum.
*/
export const SUSPICION_CONFIRMATIONS = 3;

/**
Milliseconds between two rounds of gossip; there are none while no update is queued.
*/
export const GOSSIP_INTERVAL_MILLISECONDS = 200;

/**
Hosts that receive gossip in each round.
*/
export const GOSSIP_FANOUT = 2;

/**
Transmissions of an update by each host beyond the natural logarithm of the fleet's size.
*/
export const EXTRA_TRANSMISSIONS = 4;

/**
Updates in the queue; beyond that the one with the most transmissions is dropped.
*/
export const MAX_QUEUED_UPDATES = 4096;

/**
Milliseconds between two digest exchanges, which repair what gossip missed.
*/
export const EXCHANGE_INTERVAL_MILLISECONDS = 10_000;

/**
Milliseconds between two digest exchanges while a host joins.
*/
export const JOIN_EXCHANGE_INTERVAL_MILLISECONDS = 200;

/**
Milliseconds between two messages to hosts declared dead, which detect that a partition has healed.
*/
export const RECONNECT_INTERVAL_MILLISECONDS = 5000;

/**
Buckets of hosts in a digest.
*/
export const DIGEST_BUCKETS = 128;

/**
Buckets compared in one digest exchange.
*/
export const MAX_BUCKETS_PER_EXCHANGE = 8;

/**
Records requested in one message.
*/
export const MAX_FETCHED_RECORDS = 40;

/**
Bytes of one message's JSON. The rest of the datagram adds less than 100.
*/
export const MAX_MESSAGE_BYTES = 1100;

/**
Bytes reserved in a message for everything but its updates or versions.
*/
export const MESSAGE_OVERHEAD_BYTES = 260;

/**
Milliseconds for which a dead or left host stays listed.
*/
export const ENDED_MEMBER_RETENTION_MILLISECONDS = 600_000;

/**
Milliseconds for which the tombstone of an expired host rejects older records of it.
*/
export const TOMBSTONE_RETENTION_MILLISECONDS = 3_600_000;

/**
Tombstones kept; beyond that the oldest are removed.
*/
export const MAX_TOMBSTONES = 4096;

/**
Pings relayed for other hosts that may await an answer; beyond that the oldest are dropped.
*/
export const MAX_RELAYED_PINGS = 256;

/**
Milliseconds between two scans for hosts whose retention time is over.
*/
export const EXPIRY_SCAN_INTERVAL_MILLISECONDS = 1000;

/**
Digest exchanges after which a host no longer counts as joining, even when no digest matched.
*/
export const MAX_JOIN_EXCHANGES = 150;

/**
One in this number of digest exchanges goes to a seed that isn't known as a running host, if there is one.
*/
export const EXCHANGES_PER_SEED_EXCHANGE = 4;

/**
Hosts that notify a suspected host directly when they receive the suspicion: on average, at any size of the fleet.
*/
export const SUSPICION_NOTIFIERS = 8;

/**
Milliseconds after a host's own failed probe at which it asks another host for its record of the suspected one, before it
declares that one dead.
*/
export const OWN_SUSPICION_CHECK_DELAY_MILLISECONDS = 1000;

/**
Milliseconds between two checks of a suspicion, each of which asks another host for its record of the suspected one, and
from a received suspicion to its first check.
*/
export const SUSPICION_CHECK_INTERVAL_MILLISECONDS = 3000;

/**
Milliseconds after which a received suspicion, which this host's own probe didn't confirm, ends in a declaration of
death: the hosts whose own probes failed must be gone as well.
*/
export const RECEIVED_SUSPICION_TIMEOUT_MILLISECONDS = 20_000;

/**
Milliseconds between two ticks from which on this process counts as paused in between.
*/
export const MIN_PAUSE_MILLISECONDS = 1000;
