/**
Keeps a link to one address open: opens it again after it was lost, for as long as it is wanted.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import {
	CONNECT_LEAST_MILLISECONDS,
	CONNECT_MOST_MILLISECONDS,
	RECONNECT_LEAST_MILLISECONDS,
	RECONNECT_MOST_MILLISECONDS,
	RECONNECT_SOON_MILLISECONDS,
	RECONNECT_SOON_MOST_MILLISECONDS,
} from './constants.ts';
import {
	type Link,
	type LinkMethods,
	type MessageOrder,
	runLink,
} from './link.ts';

/**
What a dialer needs.
*/
export type DialerPlan = {
	readonly address: core.Address;
	readonly methods: LinkMethods;
	readonly order?: MessageOrder;
	readonly now: () => number;
	/**
	Milliseconds without a message of this side after which it sends an empty one.
	*/
	readonly pingMilliseconds: () => number;
	/**
	Uniform in [0, 1): spreads the attempts of many hosts that lost the same peer.
	*/
	readonly random: () => number;
	readonly onOpen: (link: Link) => void;
	readonly onClose: (link: Link) => void;
	readonly onDefect: (error: Error) => void;
};

/**
A link that is opened again and again.
*/
export type Dialer = {
	/**
	The open link, if there is one.
	*/
	readonly getLink: () => Link | undefined;
	readonly close: () => void;
};

/**
Starts dialing.
*/
export function startDialer(plan: DialerPlan): Dialer {
	let link: Link | undefined;
	let socket: net.Socket | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isWanted = true;
	let waitMilliseconds = RECONNECT_LEAST_MILLISECONDS;
	let connectMilliseconds = CONNECT_LEAST_MILLISECONDS;
	let lostAt = plan.now();

	const dialLater = () => {
		if (!isWanted) {
			return;
		}

		timer = setTimeout(dial, waitMilliseconds * (0.5 + plan.random()));
		waitMilliseconds = getNextWait(waitMilliseconds, plan.now() - lostAt);
	};

	const open = (connected: net.Socket) => {
		waitMilliseconds = RECONNECT_LEAST_MILLISECONDS;
		connectMilliseconds = CONNECT_LEAST_MILLISECONDS;
		link = runLink({
			...plan,
			socket: connected,
			onClose(closed) {
				link = undefined;
				lostAt = plan.now();
				plan.onClose(closed);
				dialLater();
			},
		});
		plan.onOpen(link);
	};

	const dial = () => {
		const dialed = net.connect({host: plan.address.ip, port: plan.address.port});
		socket = dialed;
		// Towards a host without power the system would try for minutes.
		const limit = setTimeout(() => {
			// A process that was busy or paused takes its timers before its connections: the connection may be there already.
			setImmediate(() => {
				if (!dialed.connecting) {
					return;
				}

				connectMilliseconds = getNextLimit(connectMilliseconds);
				dialed.destroy();
			});
		}, connectMilliseconds);
		const onFailed = () => {
			clearTimeout(limit);
			dialLater();
		};

		dialed.on('error', () => undefined);
		dialed.once('close', onFailed);
		dialed.once('connect', () => {
			clearTimeout(limit);
			dialed.off('close', onFailed);
			open(dialed);
		});
	};

	dial();
	return {
		getLink: () => link,
		close() {
			isWanted = false;
			clearTimeout(timer);
			link?.close();
			socket?.destroy();
		},
	};
}

/**
Returns the milliseconds to wait before the next try.

@param waited Those before this one.
@param away Milliseconds since the link was lost, or since the start.
*/
export function getNextWait(waited: number, away: number): number {
	const most = away < RECONNECT_SOON_MILLISECONDS ? RECONNECT_SOON_MOST_MILLISECONDS : RECONNECT_MOST_MILLISECONDS;
	return Math.min(most, waited * 2);
}

/**
Returns the milliseconds that the next try at a connection may take, after one that ran into its limit.

@param limit That of the try before.
*/
export function getNextLimit(limit: number): number {
	return Math.min(CONNECT_MOST_MILLISECONDS, limit * 2);
}
