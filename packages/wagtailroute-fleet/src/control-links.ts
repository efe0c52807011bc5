/**
Links from this host to every control host it knows.

Hosts start with a few seeds and learn the others from them; a control host that is gone for long and that nobody names any
more is forgotten. Seeds stay: they may be all there is after a long outage.
*/
import * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import {
	DISPATCHER_PING_INTERVAL_MILLISECONDS,
	FAR_PING_INTERVAL_MILLISECONDS,
	CONTROL_HOST_EXPIRY_MILLISECONDS,
	HELLO_TIMEOUT_MILLISECONDS,
	HOUSEKEEPING_INTERVAL_MILLISECONDS,
	NEAR_PING_INTERVAL_MILLISECONDS,
	LINK_REPORT_INTERVAL_MILLISECONDS,
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
export type LinkedHost = {
	readonly host: ControlHost;
	readonly link: link.Link;
};

/**
What the links are made with.
*/
export type ControlLinksOptions = {
	readonly seeds: readonly ControlHost[];
	/**
	This host's own name: it keeps no link to itself.
	*/
	readonly hostId: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly createHello: () => Hello;
	readonly methods: link.LinkMethods;
	/**
	Says whether the dispatcher of a control host counts this host among those that ask it: it is to notice soon when it does not hear this host any more.
	*/
	readonly isRecentlyAsked?: (controlLink: link.Link) => boolean;
	readonly onOpen: (control: LinkedHost, welcome: Welcome) => void;
	readonly onLost: (control: LinkedHost) => void;
};

/**
Keeps the links to the control hosts and tells which are open.
*/
export type ControlLinks = {
	readonly getOpen: () => readonly LinkedHost[];
	/**
	Says whether there is a link to every control host that is known.
	*/
	readonly isComplete: () => boolean;
	readonly find: (id: core.HostId) => link.Link | undefined;
	/**
	Takes note of control hosts that another host named.
	*/
	readonly addDiscovered: (hosts: readonly ControlHost[]) => void;
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	readonly notifyAll: (method: string, parameters: unknown) => void;
	readonly close: () => void;
};

type KnownControlHost = {
	host: ControlHost;
	isSeed: boolean;
	lastSeenAt: number;
	open?: LinkedHost;
	readonly dialer: link.Dialer;
};

/**
Starts the links.
*/
export function startControlLinks(context: FleetContext, options: ControlLinksOptions): ControlLinks {
	const {now, random} = context;
	const order = createMessageOrder(context);
	const log = context.logs('links');
	const knownHosts = new Map<core.HostId, KnownControlHost>();

	const sendHello = async (id: core.HostId, opened: link.Link) => {
		const answer = await opened.call(METHODS.hello, options.createHello(), HELLO_TIMEOUT_MILLISECONDS);
		const entry = knownHosts.get(id);
		if (entry === undefined || answer.isErr() || !opened.isOpen()) {
			opened.close();
			return;
		}

		const welcome = answer.value as Welcome;
		entry.host = {...entry.host, failureDomain: welcome.failureDomain};
		entry.open = {host: entry.host, link: opened};
		log.info('Link opened.', {control: id, version: welcome.version});
		addDiscovered(welcome.controls);
		options.onOpen(entry.open, welcome);
	};

	const handleClose = (id: core.HostId) => {
		const entry = knownHosts.get(id);
		const {open} = entry ?? {};
		if (entry === undefined || open === undefined) {
			return;
		}

		entry.open = undefined;
		entry.lastSeenAt = now();
		log.warn('Link lost.', {control: id});
		options.onLost(open);
	};

	const getPingInterval = (id: core.HostId) => {
		const entry = knownHosts.get(id);
		if (entry?.open !== undefined && options.isRecentlyAsked?.(entry.open.link) === true) {
			return DISPATCHER_PING_INTERVAL_MILLISECONDS;
		}

		// A seed's failure domain is known from its first answer on.
		return entry?.host.failureDomain === options.failureDomain ? NEAR_PING_INTERVAL_MILLISECONDS : FAR_PING_INTERVAL_MILLISECONDS;
	};

	const add = (host: ControlHost, isSeed: boolean) => {
		const existing = knownHosts.get(host.id);
		if (existing !== undefined || host.id === options.hostId) {
			if (existing !== undefined) {
				existing.isSeed ||= isSeed;
				existing.lastSeenAt = now();
			}

			return;
		}

		knownHosts.set(host.id, {
			host,
			isSeed,
			lastSeenAt: now(),
			dialer: link.startDialer({
				address: host.address,
				methods: options.methods,
				order,
				now,
				random,
				pingMilliseconds: () => getPingInterval(host.id),
				onOpen(opened) {
					void sendHello(host.id, opened);
				},
				onClose() {
					handleClose(host.id);
				},
				onDefect(error) {
					log.error('Message could not be handled.', {control: host.id, error: error.stack});
				},
			}),
		});
	};

	const addDiscovered = (hosts: readonly ControlHost[]) => {
		for (const host of hosts) {
			add(host, false);
		}
	};

	const addSeeds = (seeds: readonly ControlHost[]) => {
		for (const seed of seeds) {
			add(seed, true);
		}
	};

	const removeExpired = () => {
		for (const [id, entry] of knownHosts) {
			if (!(entry.open === undefined && !entry.isSeed && now() - entry.lastSeenAt > CONTROL_HOST_EXPIRY_MILLISECONDS)) {
				continue;
			}

			log.info('Control host forgotten.', {control: id, address: core.formatAddress(entry.host.address)});
			entry.dialer.close();
			knownHosts.delete(id);
		}
	};

	const getOpen = () => knownHosts.values().map(entry => entry.open).filter(open => open !== undefined).toArray();

	const logBytes = () => {
		for (const {host, link: open} of getOpen()) {
			log.debug('Link bytes.', {control: host.id, isNear: host.failureDomain === options.failureDomain, ...open.getBytes()});
		}
	};

	addSeeds(options.seeds);
	const stopReporting = context.repeat(LINK_REPORT_INTERVAL_MILLISECONDS, logBytes);
	const stopRemovingExpired = context.repeat(HOUSEKEEPING_INTERVAL_MILLISECONDS, removeExpired);
	return {
		getOpen,
		isComplete: () => knownHosts.size > 0 && knownHosts.values().every(entry => entry.open !== undefined),
		find: id => knownHosts.get(id)?.open?.link,
		addDiscovered,
		addSeeds,
		notifyAll(method, parameters) {
			for (const open of getOpen()) {
				open.link.notify(method, parameters);
			}
		},
		close() {
			stopRemovingExpired();
			stopReporting();
			for (const entry of knownHosts.values()) {
				entry.open = undefined;
				entry.dialer.close();
			}
		},
	};
}
