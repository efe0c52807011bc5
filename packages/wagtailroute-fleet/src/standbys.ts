/**
Links to the standbys, the entry hosts that dispatch while no control host does.

The links are opened when a control host does not answer a slot request, so that they are open by the time that none answers. They are not kept
open: pings on lasting links of 48 hosts to every standby would cost more than the slot requests. They are closed after a time without need.
*/
import type * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {
	FAR_PING_INTERVAL_MILLISECONDS,
	HELLO_TIMEOUT_MILLISECONDS,
	HOUSEKEEPING_INTERVAL_MILLISECONDS,
	MAX_STANDBY_WAIT_MILLISECONDS,
	STANDBY_IDLE_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import {createMessageOrder} from './message-order.ts';
import type {LinkedHost} from './control-links.ts';
import {type Hello, METHODS} from './messages.ts';
import type {StandbyHost} from './settings.ts';

/**
The links to the standbys.
*/
export type Standbys = {
	/**
	Replaces the list of standbys by the one that a control host sent. An empty list is ignored: it comes from a control host that has just started.
	*/
	readonly setHosts: (hosts: readonly StandbyHost[]) => void;
	/**
	Opens the links, or keeps them open, because a dispatcher did not answer.
	*/
	readonly open: () => void;
	readonly getOpen: () => readonly LinkedHost[];
	readonly notifyAll: (method: string, parameters: unknown) => void;
	/**
	Resolves once a link to a standby is open, or after a short time without one.
	*/
	readonly waitForOne: () => Promise<void>;
	/**
	Returns whether this host is one of the standbys.
	*/
	readonly isOwnHostStandby: () => boolean;
	readonly teardown: utils.Teardown;
};

/**
Settings and callbacks of the links to standbys.
*/
export type StandbysOptions = {
	/**
	This host's own ID: it opens no link to itself.
	*/
	readonly hostId: core.HostId;
	readonly createHello: () => Hello;
	readonly methods: link.LinkMethods;
	readonly onLost: (standby: LinkedHost) => void;
};

type DialedStandby = {
	readonly host: StandbyHost;
	readonly dialer: link.Dialer;
	open?: LinkedHost;
};

/**
Creates the links; none is opened yet.
*/
export function createStandbys(context: FleetContext, options: StandbysOptions): Standbys {
	const {now, random} = context;
	const order = createMessageOrder(context);
	const log = context.logs('standbys');
	const dialed = new Map<core.HostId, DialedStandby>();
	let hosts: readonly StandbyHost[] = [];
	let lastNeededAt = -Infinity;
	const waiters: Array<() => void> = [];

	const onDefect = createDefectHandler(context, 'hello');

	const sendHello = async (id: core.HostId, opened: link.Link) => {
		const answer = await opened.call(METHODS.hello, options.createHello(), HELLO_TIMEOUT_MILLISECONDS);
		const entry = dialed.get(id);
		if (entry === undefined || answer.isErr() || !opened.isOpen()) {
			opened.close();
			return;
		}

		entry.open = {host: entry.host, link: opened};
		log.info('A link to a standby is open.', {standby: id});
		for (const resolve of waiters.splice(0)) {
			resolve();
		}
	};

	const handleClose = (id: core.HostId) => {
		const entry = dialed.get(id);
		const open = entry?.open;
		if (entry === undefined || open === undefined) {
			return;
		}

		entry.open = undefined;
		options.onLost(open);
	};

	const dial = (host: StandbyHost) => {
		dialed.set(host.id, {
			host,
			dialer: link.startDialer({
				address: host.address,
				methods: options.methods,
				order,
				now,
				random,
				getPingIntervalMilliseconds: () => FAR_PING_INTERVAL_MILLISECONDS,
				onOpen(opened) {
					utils.runDetached(async () => sendHello(host.id, opened), error => {
						onDefect(error);
						opened.close();
					});
				},
				onClose() {
					handleClose(host.id);
				},
				onDefect(error) {
					log.error('A message from a standby could not be handled.', {standby: host.id, error: error.stack});
				},
			}),
		});
	};

	const closeExcept = (isKept: (id: core.HostId) => boolean) => {
		for (const [id, entry] of dialed) {
			if (isKept(id)) {
				continue;
			}

			dialed.delete(id);
			entry.dialer.close();
		}
	};

	const isNeeded = () => now() - lastNeededAt < STANDBY_IDLE_TIMEOUT_MILLISECONDS;

	const dialMissing = () => {
		const wanted = hosts.filter(({id}) => id !== options.hostId);
		closeExcept(id => wanted.some(host => host.id === id));
		for (const host of wanted) {
			if (!dialed.has(host.id)) {
				dial(host);
			}
		}
	};

	const getOpen = () => dialed.values().map(entry => entry.open).filter(open => open !== undefined).toArray();

	const stopClosingIdle = context.repeat(HOUSEKEEPING_INTERVAL_MILLISECONDS, () => {
		if (dialed.size > 0 && !isNeeded()) {
			closeExcept(() => false);
		}
	});
	return {
		setHosts(receivedHosts) {
			hosts = receivedHosts.length > 0 ? receivedHosts : hosts;
			if (isNeeded()) {
				dialMissing();
			}
		},
		open() {
			lastNeededAt = now();
			dialMissing();
		},
		getOpen,
		notifyAll(method, parameters) {
			for (const open of getOpen()) {
				open.link.notify(method, parameters);
			}
		},
		async waitForOne() {
			if (dialed.size === 0 || getOpen().length > 0) {
				return;
			}

			await new Promise<void>(resolve => {
				waiters.push(resolve);
				context.schedule(MAX_STANDBY_WAIT_MILLISECONDS, resolve);
			});
		},
		isOwnHostStandby: () => hosts.some(host => host.id === options.hostId),
		teardown() {
			stopClosingIdle();
			closeExcept(() => false);
		},
	};
}
