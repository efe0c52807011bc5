/**
Lasting connections between hosts: calls and notifications in both directions over one TCP connection.
*/
export {type Dialer, type DialerPlan, startDialer} from './dialer.ts';
export {isPossiblyTaken, type LinkFailure, type LinkFailureKind} from './failures.ts';
export {
	type Link, type LinkMethod, type LinkMethods, type MessageOrder,
} from './link.ts';
export {type LinkServer, type LinkServerPlan, openLinkServer} from './server.ts';
