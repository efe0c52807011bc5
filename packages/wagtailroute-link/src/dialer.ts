/**
Keeps a link to one address open: opens it again after it was lost, for as long as it is wanted.

A connection can go silent for good without a reset while new ones work. A link that has been silent for longer than usual is therefore replaced as soon as the other side answers on a second
connection; until then it stays, since the other side may only be paused or busy.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	MIN_CONNECT_TIMEOUT_MILLISECONDS,
	MAX_CONNECT_TIMEOUT_MILLISECONDS,
	MIN_RECONNECT_DELAY_MILLISECONDS,
	MAX_RECONNECT_DELAY_MILLISECONDS,
	FAST_RECONNECT_PERIOD_MILLISECONDS,
	MAX_FAST_RECONNECT_DELAY_MILLISECONDS,
	PROBE_INTERVAL_MILLISECONDS,
	PROBE_METHOD,
	PROBE_TIMEOUT_MILLISECONDS,
	SUSPECT_SILENCE_MILLISECONDS,
} from './constants.ts';
import {
	type Link,
	type LinkMethods,
	type MessageOrder,
	runLink,
} from './link.ts';
import {registerCheck} from './link-checks.ts';

/**
What a dialer needs.
*/
export type DialerOptions = {
	readonly address: core.Address;
	readonly methods: LinkMethods;
	readonly order?: MessageOrder;
	readonly now: () => number;
	/**
	Milliseconds without a message of this side after which it sends an empty one.
	*/
	readonly getPingIntervalMilliseconds: () => number;
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
export function startDialer(options: DialerOptions): Dialer {
	let link: Link | undefined;
	let socket: net.Socket | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isRunning = true;
	let reconnectDelayMilliseconds = MIN_RECONNECT_DELAY_MILLISECONDS;
	let connectTimeoutMilliseconds = MIN_CONNECT_TIMEOUT_MILLISECONDS;
	let disconnectedAt = options.now();
	let secondSocket: net.Socket | undefined;
	let nextProbeAt = -Infinity;

	const scheduleDial = () => {
		if (!isRunning) {
			return;
		}

		timer = setTimeout(dial, reconnectDelayMilliseconds * (0.5 + options.random()));
		reconnectDelayMilliseconds = getNextReconnectDelay(reconnectDelayMilliseconds, options.now() - disconnectedAt);
	};

	const run = (connected: net.Socket): Link => runLink({
		...options,
		socket: connected,
		onClose(closed) {
			if (closed !== link) {
				return;
			}

			link = undefined;
			disconnectedAt = options.now();
			options.onClose(closed);
			scheduleDial();
		},
	});

	const open = (opened: Link) => {
		reconnectDelayMilliseconds = MIN_RECONNECT_DELAY_MILLISECONDS;
		connectTimeoutMilliseconds = MIN_CONNECT_TIMEOUT_MILLISECONDS;
		link = opened;
		options.onOpen(opened);
	};

	const isSuspect = () => link !== undefined && link.getSilenceMilliseconds() > SUSPECT_SILENCE_MILLISECONDS;

	const replaceIfAnswered = async (second: Link, suspect: Link) => {
		const answer = await second.call(PROBE_METHOD, {}, PROBE_TIMEOUT_MILLISECONDS);
		if (!isRunning || link !== suspect || answer.isErr() || !isSuspect() || !second.isOpen()) {
			second.close();
			return;
		}

		link = undefined;
		suspect.close();
		options.onClose(suspect);
		socket = secondSocket;
		secondSocket = undefined;
		open(second);
	};

	const checkSilence = () => {
		if (!isSuspect() || options.now() < nextProbeAt) {
			return;
		}

		nextProbeAt = options.now() + PROBE_INTERVAL_MILLISECONDS;
		const suspect = link!;
		secondSocket?.destroy();
		const connecting = net.connect({host: options.address.ip, port: options.address.port});
		secondSocket = connecting;
		const cancelTimeout = utils.schedule(MAX_CONNECT_TIMEOUT_MILLISECONDS, () => {
			connecting.destroy();
		});
		connecting.on('error', () => undefined);
		connecting.once('close', cancelTimeout);
		connecting.once('connect', () => {
			cancelTimeout();
			utils.runDetached(async () => replaceIfAnswered(run(connecting), suspect), options.onDefect);
		});
	};

	const dial = () => {
		const dialedSocket = net.connect({host: options.address.ip, port: options.address.port});
		socket = dialedSocket;
		// Towards a host without power the system would try for minutes.
		const cancelTimeout = utils.scheduleAfterReading(connectTimeoutMilliseconds, () => {
			if (!dialedSocket.connecting) {
				return;
			}

			connectTimeoutMilliseconds = getNextConnectTimeout(connectTimeoutMilliseconds);
			dialedSocket.destroy();
		});
		const onFailed = () => {
			cancelTimeout();
			scheduleDial();
		};

		dialedSocket.on('error', () => undefined);
		dialedSocket.once('close', onFailed);
		dialedSocket.once('connect', () => {
			cancelTimeout();
			dialedSocket.off('close', onFailed);
			open(run(dialedSocket));
		});
	};

	const stopChecks = registerCheck(checkSilence);
	dial();
	return {
		getLink: () => link,
		close() {
			isRunning = false;
			stopChecks();
			clearTimeout(timer);
			link?.close();
			socket?.destroy();
			secondSocket?.destroy();
		},
	};
}

/**
Returns the milliseconds to wait before the next try.

@param previousDelay Those before this one.
@param disconnectedMilliseconds Milliseconds since the link was lost, or since the start.
*/
export function getNextReconnectDelay(previousDelay: number, disconnectedMilliseconds: number): number {
	const maxDelay = disconnectedMilliseconds < FAST_RECONNECT_PERIOD_MILLISECONDS ? MAX_FAST_RECONNECT_DELAY_MILLISECONDS : MAX_RECONNECT_DELAY_MILLISECONDS;
	return Math.min(maxDelay, previousDelay * 2);
}

/**
Returns the milliseconds that the next try at a connection may take, after one that ran into its limit.

@param previousTimeout That of the try before.
*/
export function getNextConnectTimeout(previousTimeout: number): number {
	return Math.min(MAX_CONNECT_TIMEOUT_MILLISECONDS, previousTimeout * 2);
}
