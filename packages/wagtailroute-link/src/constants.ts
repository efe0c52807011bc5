/**
Times and bounds of links.
*/

/**
Milliseconds without a message after which the side that opened a link sends an empty one, so that the other hears that it runs:
three fit into {@link SILENT_MILLISECONDS}, so that a single late one ends no link.
*/
export const PING_MILLISECONDS = 700;

/**
The same for the side that took the link: whoever opened it notices silence by its unanswered calls first.
*/
export const ANSWERING_PING_MILLISECONDS = 1500;

/**
Milliseconds without a byte after which a link counts as lost for the side that took it. A connection can go silent without a
reset: nothing else would show it. It is longer than a pause for collection of garbage or a used-up share of the processor.
*/
export const SILENT_MILLISECONDS = 2200;

/**
The same for the side that opened it.
*/
export const ANSWERING_SILENT_MILLISECONDS = 3500;

/**
Milliseconds between two looks at all links of a process.
*/
export const WATCH_MILLISECONDS = 350;

/**
Milliseconds that opening a connection may take: ten times the longest way between failure domains of one region.
*/
export const CONNECT_MILLISECONDS = 600;

/**
Milliseconds before a lost link is opened again, doubled with each failure up to {@link RECONNECT_MOST_MILLISECONDS}.
*/
export const RECONNECT_LEAST_MILLISECONDS = 100;

/**
Longest wait in milliseconds before a lost link is opened again: a control host that comes back counts within seconds.
*/
export const RECONNECT_MOST_MILLISECONDS = 800;

/**
Longest message in bytes: a catalogue of 46,000 routes of 250 bytes fits twice.
*/
export const MESSAGE_BYTES = 33_554_432;

/**
Bytes that may wait for a peer that does not read; beyond it the link is closed, as the memory would grow without bound.
*/
export const WAITING_BYTES = 50_331_648;
