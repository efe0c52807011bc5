/**
Bounds and names of the way of a request.
*/

/**
Bodies up to this size in bytes are read whole before the first attempt, so that they can be sent again.
*/
export const MAX_REPLAYABLE_BODY_BYTES = 65_536;

/**
Answers up to this size in bytes are kept for a resend with the same idempotency key.
*/
export const MAX_STORED_ANSWER_BYTES = 65_536;

/**
Bytes of a discarded answer that are read to keep its connection; a longer one costs the connection.
*/
export const MAX_DISCARDED_ANSWER_BYTES = 65_536;

/**
Largest header section of a request, in bytes; a larger one is answered 431.
*/
export const MAX_HEADER_BYTES = 16_384;

/**
Milliseconds that a caller may take to send its header section.
*/
export const HEADERS_TIMEOUT_MILLISECONDS = 10_000;

/**
Milliseconds that a caller may take to send its whole request, long uploads included.
*/
export const REQUEST_TIMEOUT_MILLISECONDS = 3_600_000;

/**
Milliseconds after which an unused connection of a caller is closed.
*/
export const KEEP_ALIVE_MILLISECONDS = 30_000;

/**
Connections of callers to one host; one more is closed at once.
*/
export const MAX_CALLER_CONNECTIONS = 16_384;

/**
Longest path with its query, in characters.
*/
export const MAX_REQUEST_TARGET_LENGTH = 8192;

/**
Longest organisation or idempotency key, in characters.
*/
export const MAX_TOKEN_LENGTH = 255;

/**
Longest deadline a caller may set, in milliseconds.
*/
export const MAX_TIMEOUT_MILLISECONDS = 3_600_000;

/**
Milliseconds above which the advice when to send again is given as it is, without a spread.
*/
export const MAX_SPREAD_RETRY_AFTER_MILLISECONDS = 30_000;

/**
Milliseconds that opening a connection to an upstream may take before another one is tried.
*/
export const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds that a request whose answer is overdue waits for another place: a free one is granted in less. Waiting longer it would take
the slot of a request that was not sent yet.
*/
export const MOVE_TIMEOUT_MILLISECONDS = 100;

/**
Milliseconds after which an unused connection to an upstream is closed: shorter than common servers' own limit, so that a request rarely meets a connection that the server is closing.
*/
export const UPSTREAM_KEEP_ALIVE_MILLISECONDS = 4000;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Prefix of the paths that the fleet answers itself.
*/
export const RESERVED_PREFIX = '/.wagtailroute/';

/**
Name of this proxy in Via and Proxy-Status.
*/
export const PROXY_NAME = 'wagtailroute';

/**
Organisation of a request that names none.
*/
export const DEFAULT_ORGANISATION = '';

/**
Tells the caller what happened to its request.
*/
export const OUTCOME_HEADER = 'wagtailroute-outcome';

/**
Names the caller's organisation.
*/
export const ORGANISATION_HEADER = 'wagtailroute-organisation';

/**
Set by the host that forwards to a carrier, so that a request is forwarded once at most.
*/
export const FORWARDED_HEADER = 'wagtailroute-forwarded-by';

/**
Names one intended execution.
*/
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/**
The caller's deadline in milliseconds from now.
*/
export const TIMEOUT_HEADER = 'request-timeout-ms';

/**
Milliseconds for which the rest of a refused request's body is read, so that its caller gets the answer.
*/
export const LINGER_MILLISECONDS = 2000;

/**
Bytes of a large body that pass without a wait.
*/
export const PACING_BURST_BYTES = 8192;

/**
Bytes of a large body that are passed on in one piece.
*/
export const PACED_CHUNK_BYTES = 8192;

/**
Part of a link that large bodies may take together in one direction.
*/
export const LARGE_BODY_LINK_FRACTION = 0.7;

/**
Bytes a second from which on a link needs no pace: 64 KiB take 5 ms.
*/
export const MIN_UNPACED_LINK_BYTES_PER_SECOND = 12_500_000;
