/**
Links to the entry hosts that dispatch while no control host does.

They are opened when a control host leaves an ask unanswered, so that they are there when the last one has: 48 hosts with a lasting link
to each would spend more on pings than on asks. After a while without need they are closed again.
*/
import type * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import type * as utils from 'wagtailroute-utils';
import {
	FAR_PING_MILLISECONDS,
	HELLO_MILLISECONDS,
	HOUSEKEEPING_MILLISECONDS,
	STANDBY_IDLE_MILLISECONDS,
	STANDBY_OPEN_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createMessageOrder} from './message-order.ts';
import type {OpenControl} from './control-links.ts';
import {type Hello, METHODS} from './messages.ts';
import type {StandbyHost} from './settings.ts';

/**
The links to hosts that may dispatch.
*/
export type Standbys = {
	/**
	Takes the list that a control host told. An empty one changes nothing: it comes from a control host that has just started.
	*/
	readonly learn: (hosts: readonly StandbyHost[]) => void;
	/**
	Opens the links, or keeps them open: a dispatcher has not answered.
	*/
	readonly open: () => void;
	readonly getOpen: () => readonly OpenControl[];
	readonly notifyAll: (method: string, parameters: unknown) => void;
	/**
	Resolves once one of them is open; soon in any case.
	*/
	readonly waitForOne: () => Promise<void>;
	/**
	Says whether this host is one of them.
	*/
	readonly isSelfNamed: () => boolean;
	readonly teardown: utils.Teardown;
};

/**
What the links are made with.
*/
export type StandbysPlan = {
	/**
	This host's own name: it needs no link to itself.
	*/
	readonly self: core.HostId;
	readonly createHello: () => Hello;
	readonly methods: link.LinkMethods;
	readonly onLost: (standby: OpenControl) => void;
};

type Dialed = {
	readonly host: StandbyHost;
	readonly dialer: link.Dialer;
	open?: OpenControl;
};

/**
Starts without any link.
*/
export function createStandbys(context: FleetContext, plan: StandbysPlan): Standbys {
	const {now, random} = context;
	const order = createMessageOrder(context);
	const log = context.logs('standbys');
	const dialed = new Map<core.HostId, Dialed>();
	let hosts: readonly StandbyHost[] = [];
	let neededAt = -Infinity;
	const waiting: Array<() => void> = [];

	const greet = async (id: core.HostId, opened: link.Link) => {
		const answer = await opened.call(METHODS.hello, plan.createHello(), HELLO_MILLISECONDS);
		const entry = dialed.get(id);
		if (entry === undefined || answer.isErr() || !opened.isOpen()) {
			opened.close();
			return;
		}

		entry.open = {host: entry.host, link: opened};
		log.info('Standby reached.', {standby: id});
		for (const resolve of waiting.splice(0)) {
			resolve();
		}
	};

	const lose = (id: core.HostId) => {
		const entry = dialed.get(id);
		const open = entry?.open;
		if (entry === undefined || open === undefined) {
			return;
		}

		entry.open = undefined;
		plan.onLost(open);
	};

	const dial = (host: StandbyHost) => {
		dialed.set(host.id, {
			host,
			dialer: link.startDialer({
				address: host.address,
				methods: plan.methods,
				order,
				now,
				random,
				pingMilliseconds: () => FAR_PING_MILLISECONDS,
				onOpen(opened) {
					void greet(host.id, opened);
				},
				onClose() {
					lose(host.id);
				},
				onDefect(error) {
					log.error('Message could not be handled.', {standby: host.id, error: error.stack});
				},
			}),
		});
	};

	const hangUp = (isKept: (id: core.HostId) => boolean) => {
		for (const [id, entry] of dialed) {
			if (isKept(id)) {
				continue;
			}

			dialed.delete(id);
			entry.dialer.close();
		}
	};

	const isNeeded = () => now() - neededAt < STANDBY_IDLE_MILLISECONDS;

	const dialMissing = () => {
		const wanted = hosts.filter(({id}) => id !== plan.self);
		hangUp(id => wanted.some(host => host.id === id));
		for (const host of wanted) {
			if (!dialed.has(host.id)) {
				dial(host);
			}
		}
	};

	const getOpen = () => dialed.values().map(entry => entry.open).filter(open => open !== undefined).toArray();

	const stopLooking = context.repeat(HOUSEKEEPING_MILLISECONDS, () => {
		if (dialed.size > 0 && !isNeeded()) {
			hangUp(() => false);
		}
	});
	return {
		learn(told) {
			hosts = told.length > 0 ? told : hosts;
			if (isNeeded()) {
				dialMissing();
			}
		},
		open() {
			neededAt = now();
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
				waiting.push(resolve);
				context.schedule(STANDBY_OPEN_MILLISECONDS, resolve);
			});
		},
		isSelfNamed: () => hosts.some(host => host.id === plan.self),
		teardown() {
			stopLooking();
			hangUp(() => false);
		},
	};
}
