/**
Intervals and bounds of membership. Each names its unit and the reason for its value.
*/

/**
Milliseconds from the start of one probe to the start of the next; the cost a host doesn't grow with the fleet. A probe
that fails delays the next one.
*/
export const PROBE_INTERVAL_MILLISECONDS = 700;

/**
Milliseconds that a probe may take.
*/
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between the direct pings of one probe; twice the longest usual round trip between regions.
*/
export const PING_INTERVAL_MILLISECONDS = 200;

/**
Milliseconds into a probe at which other hosts are asked to ping the target as well.
*/
export const PING_REQUEST_DELAYS_MILLISECONDS: readonly number[] = [400, 600, 800];

/**
Hosts asked each time.
*/
export const PING_REQUEST_FANOUT = 3;

/**
Of so many probes, one goes out of the failure domain.
*/
export const PROBES_PER_REMOTE_PROBE = 5;

/**
Of so many probes, one goes to a host with a path fault, if there is one.
*/
export const PROBES_PER_PATH_FAULT_PROBE = 3;

/**
Fleets up to this number of other hosts are probed as one failure domain.
*/
export const MAX_SMALL_FLEET_HOSTS = 64;

/**
With so few other hosts a failed probe always counts: there are too few to ask, and too few to flood.
*/
export const MAX_HOSTS_WITHOUT_ISOLATION_CHECK = 3;

/**
Highest score of local health; a probe takes (1 + score) times as long.
*/
export const MAX_LOCAL_HEALTH_SCORE = 3;

/**
Milliseconds of suspicion before a host is declared dead, when nobody else suspects it.
*/
export const MAX_SUSPICION_MILLISECONDS = 6000;

/**
Milliseconds of suspicion when `CONFIRMATIONS` others suspect it too.
*/
export const MIN_SUSPICION_MILLISECONDS = 2000;

/**
Other hosts' suspicions that shorten the time to the least.
*/
export const SUSPICION_CONFIRMATIONS = 3;

/**
Milliseconds between two rounds of gossip; there are none while there is no news.
*/
export const GOSSIP_INTERVAL_MILLISECONDS = 200;

/**
Hosts told in each round.
*/
export const GOSSIP_FANOUT = 2;

/**
Transmissions of an update by one host beyond the logarithm of the fleet's size.
*/
export const EXTRA_TRANSMISSIONS = 4;

/**
Updates that wait to be sent; the most often sent are dropped first.
*/
export const MAX_QUEUED_UPDATES = 4096;

/**
Milliseconds between two exchanges of digests, which repair what gossip left out.
*/
export const EXCHANGE_INTERVAL_MILLISECONDS = 10_000;

/**
Milliseconds between two exchanges while a host joins.
*/
export const JOIN_EXCHANGE_INTERVAL_MILLISECONDS = 200;

/**
Milliseconds between two words to a host taken for dead, so that a healed partition is noticed.
*/
export const RECONNECT_INTERVAL_MILLISECONDS = 5000;

/**
Groups of hosts in a digest.
*/
export const DIGEST_BUCKETS = 128;

/**
Groups compared in one exchange.
*/
export const MAX_BUCKETS_PER_EXCHANGE = 8;

/**
Records asked for in one message.
*/
export const MAX_FETCHED_RECORDS = 40;

/**
Bytes of one message's JSON. The datagram around it adds less than 100.
*/
export const MAX_MESSAGE_BYTES = 1100;

/**
Bytes kept for everything in a message but its updates.
*/
export const MESSAGE_OVERHEAD_BYTES = 260;

/**
Milliseconds after which a dead or left host is no longer listed.
*/
export const ENDED_MEMBER_RETENTION_MILLISECONDS = 600_000;

/**
Milliseconds for which an older record of a forgotten host is refused.
*/
export const TOMBSTONE_RETENTION_MILLISECONDS = 3_600_000;

/**
Forgotten hosts remembered; the oldest go first.
*/
export const MAX_TOMBSTONES = 4096;

/**
Pings on behalf of others that may be under way.
*/
export const MAX_RELAYED_PINGS = 256;

/**
Milliseconds between two searches for hosts to forget.
*/
export const EXPIRY_SCAN_INTERVAL_MILLISECONDS = 1000;

/**
Exchanges after which a host no longer counts as joining.
*/
export const MAX_JOIN_EXCHANGES = 150;

/**
Of so many exchanges, one goes to a seed that isn't known as a running host, if there is one.
*/
export const EXCHANGES_PER_SEED_EXCHANGE = 4;

/**
Hosts that tell a suspected host at once, on average, whatever the size of the fleet.
*/
export const SUSPICION_NOTIFIERS = 8;

/**
Milliseconds after its own failed probe at which a host asks another what it knows, before it declares a host dead.
*/
export const OWN_SUSPICION_CHECK_DELAY_MILLISECONDS = 1000;

/**
Milliseconds after which a suspicion that a host only heard of is asked about, and again at the same interval.
*/
export const SUSPICION_CHECK_INTERVAL_MILLISECONDS = 3000;

/**
Milliseconds after which a suspicion that a host only heard of makes it declare the other dead: those that suspected it
themselves must be gone, too.
*/
export const RECEIVED_SUSPICION_TIMEOUT_MILLISECONDS = 20_000;

/**
Milliseconds between two ticks above which this host is taken to have been paused.
*/
export const MIN_PAUSE_MILLISECONDS = 1000;
