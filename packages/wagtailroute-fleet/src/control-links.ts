/**
Links from this host to every control host it knows.

Hosts start with a few seeds and learn the others from them; a control host that is gone for long and that nobody names any
more is forgotten. Seeds stay: they may be all there is after a long outage.
*/
import * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import {
	ASKED_PING_MILLISECONDS,
	FAR_PING_MILLISECONDS,
	FORGET_CONTROL_MILLISECONDS,
	HELLO_MILLISECONDS,
	HOUSEKEEPING_MILLISECONDS,
	NEAR_PING_MILLISECONDS,
	REPORT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createMessageOrder} from './message-order.ts';
import {
	type Hello,
	METHODS,
	type Welcome,
} from './messages.ts';
import type {ControlHost} from './settings.ts';

/**
A control host with an open link that was greeted.
*/
export type OpenControl = {
	readonly host: ControlHost;
	readonly link: link.Link;
};

/**
What the links are made with.
*/
export type ControlLinksPlan = {
	readonly seeds: readonly ControlHost[];
	/**
	This host's own name: it keeps no link to itself.
	*/
	readonly self: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly createHello: () => Hello;
	readonly methods: link.LinkMethods;
	/**
	Says whether the dispatcher of a control host counts this host among those that ask it: it is to notice soon when it does not hear this host any more.
	*/
	readonly isAsked?: (over: link.Link) => boolean;
	readonly onOpen: (control: OpenControl, welcome: Welcome) => void;
	readonly onLost: (control: OpenControl) => void;
};

/**
Keeps the links to the control hosts and tells which are open.
*/
export type ControlLinks = {
	readonly getOpen: () => readonly OpenControl[];
	/**
	Says whether there is a link to every control host that is known.
	*/
	readonly isComplete: () => boolean;
	readonly find: (id: core.HostId) => link.Link | undefined;
	/**
	Takes note of control hosts that another host named.
	*/
	readonly learn: (hosts: readonly ControlHost[]) => void;
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	readonly notifyAll: (method: string, parameters: unknown) => void;
	readonly close: () => void;
};

type Known = {
	host: ControlHost;
	isSeed: boolean;
	advertisedAt: number;
	open?: OpenControl;
	readonly dialer: link.Dialer;
};

/**
Starts the links.
*/
export function startControlLinks(context: FleetContext, plan: ControlLinksPlan): ControlLinks {
	const {now, random} = context;
	const order = createMessageOrder(context);
	const log = context.logs('links');
	const known = new Map<core.HostId, Known>();

	const greet = async (id: core.HostId, opened: link.Link) => {
		const answer = await opened.call(METHODS.hello, plan.createHello(), HELLO_MILLISECONDS);
		const entry = known.get(id);
		if (entry === undefined || answer.isErr() || !opened.isOpen()) {
			opened.close();
			return;
		}

		const welcome = answer.value as Welcome;
		entry.host = {...entry.host, failureDomain: welcome.failureDomain};
		entry.open = {host: entry.host, link: opened};
		log.info('Link opened.', {control: id, version: welcome.version});
		learn(welcome.controls);
		plan.onOpen(entry.open, welcome);
	};

	const lose = (id: core.HostId) => {
		const entry = known.get(id);
		const {open} = entry ?? {};
		if (entry === undefined || open === undefined) {
			return;
		}

		entry.open = undefined;
		entry.advertisedAt = now();
		log.warn('Link lost.', {control: id});
		plan.onLost(open);
	};

	const getPing = (id: core.HostId) => {
		const entry = known.get(id);
		if (entry?.open !== undefined && plan.isAsked?.(entry.open.link) === true) {
			return ASKED_PING_MILLISECONDS;
		}

		// A seed's failure domain is known from its first answer on.
		return entry?.host.failureDomain === plan.failureDomain ? NEAR_PING_MILLISECONDS : FAR_PING_MILLISECONDS;
	};

	const add = (host: ControlHost, isSeed: boolean) => {
		const present = known.get(host.id);
		if (present !== undefined || host.id === plan.self) {
			if (present !== undefined) {
				present.isSeed ||= isSeed;
				present.advertisedAt = now();
			}

			return;
		}

		known.set(host.id, {
			host,
			isSeed,
			advertisedAt: now(),
			dialer: link.startDialer({
				address: host.address,
				methods: plan.methods,
				order,
				now,
				random,
				pingMilliseconds: () => getPing(host.id),
				onOpen(opened) {
					void greet(host.id, opened);
				},
				onClose() {
					lose(host.id);
				},
				onDefect(error) {
					log.error('Message could not be handled.', {control: host.id, error: error.stack});
				},
			}),
		});
	};

	const learn = (hosts: readonly ControlHost[]) => {
		for (const host of hosts) {
			add(host, false);
		}
	};

	const addSeeds = (seeds: readonly ControlHost[]) => {
		for (const seed of seeds) {
			add(seed, true);
		}
	};

	const forget = () => {
		for (const [id, entry] of known) {
			if (!(entry.open === undefined && !entry.isSeed && now() - entry.advertisedAt > FORGET_CONTROL_MILLISECONDS)) {
				continue;
			}

			log.info('Control host forgotten.', {control: id, address: core.formatAddress(entry.host.address)});
			entry.dialer.close();
			known.delete(id);
		}
	};

	const getOpen = () => known.values().map(entry => entry.open).filter(open => open !== undefined).toArray();

	const reportBytes = () => {
		for (const {host, link: open} of getOpen()) {
			log.debug('Link bytes.', {control: host.id, isNear: host.failureDomain === plan.failureDomain, ...open.getBytes()});
		}
	};

	addSeeds(plan.seeds);
	const stopReporting = context.repeat(REPORT_MILLISECONDS, reportBytes);
	const stopForgetting = context.repeat(HOUSEKEEPING_MILLISECONDS, forget);
	return {
		getOpen,
		isComplete: () => known.size > 0 && known.values().every(entry => entry.open !== undefined),
		find: id => known.get(id)?.open?.link,
		learn,
		addSeeds,
		notifyAll(method, parameters) {
			for (const open of getOpen()) {
				open.link.notify(method, parameters);
			}
		},
		close() {
			stopForgetting();
			stopReporting();
			for (const entry of known.values()) {
				entry.open = undefined;
				entry.dialer.close();
			}
		},
	};
}
