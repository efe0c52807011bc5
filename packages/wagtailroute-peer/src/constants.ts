/**
Bounds and settings of the calls between hosts.
*/

/**
Forward secrecy and authenticated encryption from the fleet secret alone, without certificates to renew.
*/
export const TLS_CIPHER = 'ECDHE-PSK-CHACHA20-POLY1305';

/**
The last TLS version in which Node offers pre-shared keys.
*/
export const TLS_VERSION = 'TLSv1.2';

/**
Bytes of the keys derived from the fleet secret.
*/
export const KEY_BYTES = 32;

/**
Bytes of a datagram's authentication tag (HMAC-SHA-256, truncated).
*/
export const TAG_BYTES = 16;

/**
Largest datagram, so that it is never fragmented on an Ethernet path.
*/
export const MAX_DATAGRAM_BYTES = 1400;

/**
Largest body of a call or its answer, in bytes.
*/
export const MAX_BODY_BYTES = 67_108_864;

/**
Notifications that may wait for one address; more are dropped, as on a lossy network.
*/
export const MAX_QUEUED_NOTIFICATIONS = 2000;

/**
Notifications sent in one batch.
*/
export const MAX_BATCH_NOTIFICATIONS = 200;

/**
Calls in flight to one address; one more is refused at once.
*/
export const MAX_CALLS_IN_FLIGHT = 256;

/**
Connections to one address for calls; one further carries the notifications in order.
*/
export const CALL_CONNECTIONS = 4;

/**
Milliseconds after which an unused connection is closed.
*/
export const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000;

/**
Milliseconds that opening a connection may take.
*/
export const CONNECT_TIMEOUT_MILLISECONDS = 2000;

/**
Milliseconds that a batch of notifications may take.
*/
export const NOTIFY_TIMEOUT_MILLISECONDS = 3000;

/**
Path of the one endpoint.
*/
export const RPC_PATH = '/rpc';

/**
Header that names the calling host.
*/
export const CALLER_HEADER = 'wagtailroute-host';
