/**
Times and bounds of links.
*/

/**
Milliseconds without a message after which the side that took a link sends an empty one: whoever opened it notices silence by its
unanswered calls first.
*/
export const SERVER_PING_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds without a byte after which a link counts as lost. A connection can go silent for good without a reset: nothing else
would show it. Three pings of either side fit in, and it is longer than any pause of a process that goes on.
*/
export const MAX_SILENCE_MILLISECONDS = 6500;

/**
Milliseconds without a byte after which a second connection is tried beside a link: one ping interval of the side that took it, two looks, and the way there.
What is sent over the link in vain until it is replaced must still come in time.
*/
export const SUSPECT_SILENCE_MILLISECONDS = 2750;

/**
Milliseconds in which the other side must answer on the second connection. One that is paused or too busy answers on neither.
*/
export const PROBE_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between two second connections beside the same link.
*/
export const PROBE_INTERVAL_MILLISECONDS = 1500;

/**
Name of the method that each side of a link answers.
*/
export const PROBE_METHOD = 'link.probe';

/**
Milliseconds between two looks at all links of a process.
*/
export const LINK_CHECK_INTERVAL_MILLISECONDS = 350;

/**
Milliseconds that the first try at opening a connection may take: many times there and back between failure domains of one region. A host
that has no power yet drops the first packet, and the system sends it again only after a second: after a restart of everything, hosts
that come up a little sooner than the control hosts would wait out the whole limit and begin to serve that much later.
*/
export const MIN_CONNECT_TIMEOUT_MILLISECONDS = 100;

/**
The same at most, after doubling with each try that ran into the limit: the way to another region is longer.
*/
export const MAX_CONNECT_TIMEOUT_MILLISECONDS = 600;

/**
Milliseconds before a lost link is opened again, doubled with each failure up to {@link MAX_RECONNECT_DELAY_MILLISECONDS}.
*/
export const MIN_RECONNECT_DELAY_MILLISECONDS = 100;

/**
Longest wait in milliseconds before a lost link is opened again: a control host that comes back counts within seconds.
*/
export const MAX_RECONNECT_DELAY_MILLISECONDS = 800;

/**
Milliseconds after a loss, or after the start, for which a link is tried again at short intervals: a process is back within a second or two,
and after a restart of everything each request waits for the first link.
*/
export const FAST_RECONNECT_PERIOD_MILLISECONDS = 3000;

/**
Longest wait in milliseconds meanwhile. A try at a port where nobody listens costs 0.1 ms.
*/
export const MAX_FAST_RECONNECT_DELAY_MILLISECONDS = 100;

/**
Longest message in bytes: a catalogue of 46,000 routes of 250 bytes fits twice.
*/
export const MAX_MESSAGE_BYTES = 33_554_432;

/**
Bytes that may wait for a peer that does not read; beyond it the link is closed, as the memory would grow without bound.
*/
export const MAX_UNSENT_BYTES = 50_331_648;

/**
Characters from which on a message is packed. Packing one of this length takes 40 microseconds and saves a packet; what is shorter
fits into one packet anyway.
*/
export const MIN_COMPRESSED_CHARACTERS = 1500;

/**
Characters of a long message that are looked at to find out whether it was deflated before.
*/
export const SAMPLE_CHARACTERS = 256;

/**
Effort of packing, 1 to 9. The least one brings 175 KB of a catalogue of 370 routes to 16 KB in 0.8 ms; the library's default takes
twice as long for 2% less.
*/
export const COMPRESSION_LEVEL = 1;

/**
Milliseconds for which messages that may wait are handled in a row: a tenth of what a leader's heartbeat may be late.
*/
export const TIME_SLICE_MILLISECONDS = 5;

/**
Milliseconds without such a message after which the loop has looked at all connections: a new slice begins.
*/
export const NEW_SLICE_GAP_MILLISECONDS = 1;

/**
Messages of a link that may wait for their turn; a link with more is not read until half of them are handled, so that its sender waits too.
*/
export const MAX_QUEUED_MESSAGES = 512;
