/**
Limits, timeouts and header names of the proxy.
*/

/**
Maximum size in bytes of a body that is buffered before the first attempt, so that it can be sent again.
*/
export const MAX_REPLAYABLE_BODY_BYTES = 65_536;

/**
Maximum size in bytes of an answer that is kept for later requests with the same idempotency key.
*/
export const MAX_STORED_ANSWER_BYTES = 65_536;

/**
Maximum number of bytes of a discarded answer that are read so that its connection can be reused; for a longer one the connection is closed.
*/
export const MAX_DISCARDED_ANSWER_BYTES = 65_536;

/**
Maximum number of bytes that an upstream may send on a connection for one request besides the body of its response. Up to 128 KiB of a paused body wait in the buffers
of the connection and are counted as overhead until they are read.
*/
export const MAX_OVERHEAD_BYTES = 262_144;

/**
Bytes of overhead allowed for each byte of a body: a chunk of one byte has five bytes of framing.
*/
export const MAX_OVERHEAD_PER_BODY_BYTE = 8;

/**
Maximum size of the header section of a request in bytes; a larger one is answered with 431.
*/
export const MAX_HEADER_BYTES = 16_384;

/**
Maximum number of requests that wait behind another one on a connection. With their header sections they take 1 MB at most; their bodies are not read.
*/
export const MAX_PIPELINED_REQUESTS = 64;

/**
Maximum number of safe requests of one connection that run beside each other.
*/
export const MAX_PARALLEL_PIPELINED_REQUESTS = 8;

/**
Timeout in milliseconds for receiving the header section of a request.
*/
export const HEADERS_TIMEOUT_MILLISECONDS = 10_000;

/**
Timeout in milliseconds for receiving a whole request, long uploads included.
*/
export const REQUEST_TIMEOUT_MILLISECONDS = 3_600_000;

/**
Milliseconds after which an idle connection of a caller is closed.
*/
export const KEEP_ALIVE_MILLISECONDS = 30_000;

/**
Maximum number of connections from callers; further ones are closed at once.
*/
export const MAX_CALLER_CONNECTIONS = 16_384;

/**
Maximum length of a request target (path with query) in characters.
*/
export const MAX_REQUEST_TARGET_LENGTH = 8192;

/**
Maximum length of an organisation or idempotency key in characters.
*/
export const MAX_TOKEN_LENGTH = 255;

/**
Maximum timeout that a caller may set, in milliseconds.
*/
export const MAX_TIMEOUT_MILLISECONDS = 3_600_000;

/**
A longer `Retry-After`, in milliseconds, is sent without random spread.
*/
export const MAX_SPREAD_RETRY_AFTER_MILLISECONDS = 30_000;

/**
Default connect timeout for an upstream in milliseconds, after which another upstream is tried.
*/
export const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds that a request whose answer is overdue waits for another target. A free slot is granted in less time; a longer wait would take
the slot from a request that has not been sent yet.
*/
export const MOVE_TIMEOUT_MILLISECONDS = 100;

/**
Milliseconds after which an idle connection to an upstream is closed: shorter than the keep-alive timeout of common servers, so that
a request is rarely sent on a connection that the server is closing.
*/
export const UPSTREAM_KEEP_ALIVE_MILLISECONDS = 4000;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Prefix of the paths that the fleet answers itself instead of forwarding.
*/
export const RESERVED_PREFIX = '/.wagtailroute/';

/**
Name of this proxy in Via and Proxy-Status.
*/
export const PROXY_NAME = 'wagtailroute';

/**
Organisation of a request without an organisation header.
*/
export const DEFAULT_ORGANISATION = '';

/**
Response header that tells the caller whether its request was run.
*/
export const OUTCOME_HEADER = 'wagtailroute-outcome';

/**
Request header that names the caller's organisation.
*/
export const ORGANISATION_HEADER = 'wagtailroute-organisation';

/**
Request header set by a host that forwards to a carrier, so that a request is forwarded at most once.
*/
export const FORWARDED_HEADER = 'wagtailroute-forwarded-by';

/**
Request header with the idempotency key: requests with the same key are run at most once.
*/
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/**
Request header with the caller's timeout in milliseconds.
*/
export const TIMEOUT_HEADER = 'request-timeout-ms';

/**
Milliseconds that the rest of an answered request's body may take in all: as long as an idle connection is kept.
*/
export const MAX_REMAINDER_MILLISECONDS = KEEP_ALIVE_MILLISECONDS;

/**
Bytes of the rest of an answered request's body that are read. For a longer rest a new connection costs both sides less.
*/
export const MAX_REMAINDER_BYTES = 67_108_864;

/**
Bytes that pass without delay when the link was idle.
*/
export const PACING_BURST_BYTES = 8192;

/**
Size in bytes of the chunks into which a paced body is split; a larger body counts as large.
*/
export const PACED_CHUNK_BYTES = 8192;

/**
Fraction of the link capacity that all large bodies may use together in one direction.
*/
export const LARGE_BODY_LINK_FRACTION = 0.7;

/**
Link capacity in bytes per second from which bodies are not paced: 64 KiB take 5 ms there.
*/
export const MIN_UNPACED_LINK_BYTES_PER_SECOND = 12_500_000;

/**
Maximum size in bytes of a response that is not paced.
*/
export const MAX_SMALL_RESPONSE_BYTES = 8192;

/**
Milliseconds of the link that one piece of a paced response takes, and that pieces may be sent early after a late timer. Together they are less than
the 20 ms that a small response may wait, with the headers of the packets.
*/
export const PACED_PIECE_MILLISECONDS = 6;
export const PACING_CREDIT_MILLISECONDS = 5;

/**
Bounds in bytes of one piece of a paced response.
*/
export const MIN_PACED_PIECE_BYTES = 512;
export const MAX_PACED_PIECE_BYTES = 8192;

/**
Bytes of one paced response that a host holds before it stops reading from the upstream.
*/
export const MAX_HELD_RESPONSE_BYTES = 1_048_576;

/**
Bytes that a host holds in all before it reads paced responses no further: an eighth of the memory of a small host.
*/
export const MAX_HELD_RESPONSES_BYTES = 25_165_824;

/**
Bytes that a host holds in all before it takes no further request body and begins to read no further response: a third of the memory of a small host,
or a thousand request bodies of the largest size that is buffered.
*/
export const MAX_HELD_BYTES = 67_108_864;

/**
Milliseconds that an upstream may take to answer a health check. It may wait for a slot.
*/
export const HEALTH_CHECK_TIMEOUT_MILLISECONDS = 400;

/**
Milliseconds after which an unanswered attempt is looked into even if answers usually take longer: a crash has to be known to all hosts within seconds.
*/
export const MAX_UNANSWERED_MILLISECONDS = 1500;
