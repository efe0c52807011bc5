/**
Lasting connections between hosts: calls and notifications in both directions over one TCP connection.
*/
export {type Dialer, type DialerOptions, startDialer} from './dialer.ts';
export {isPossiblyDelivered, type LinkFailure, type LinkFailureKind} from './failures.ts';
export {
	type Link, type LinkMethod, type LinkMethods, type MessageOrder,
} from './link.ts';
export {type LinkServer, type LinkServerOptions, openLinkServer} from './server.ts';
