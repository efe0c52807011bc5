/**
Calls between the hosts of a fleet: JSON-RPC 2.0 over TLS with a key from the fleet secret, and authenticated datagrams.
*/
export {
	isPossiblyDelivered,
	type PeerFailure,
	type PeerFailureKind,
} from './failures.ts';
export {
	type Method,
	openPeer,
	type Peer,
	type PeerSettings,
} from './peer.ts';
export type {Caller} from './server.ts';
export type {DatagramHandler} from './datagrams.ts';
