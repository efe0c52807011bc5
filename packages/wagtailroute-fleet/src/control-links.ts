/**
Links from this host to every control host that it knows.

A host starts with a few seeds and discovers the other control hosts through them. A control host is forgotten after a time without a link to it and
without any host naming it. Seeds are never forgotten: they may be the only way back after a long outage.
*/
import * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {
	CONTROL_HOST_EXPIRY_MILLISECONDS,
	DISPATCHER_PING_INTERVAL_MILLISECONDS,
	FAR_PING_INTERVAL_MILLISECONDS,
	HELLO_TIMEOUT_MILLISECONDS,
	HOUSEKEEPING_INTERVAL_MILLISECONDS,
	LINK_REPORT_INTERVAL_MILLISECONDS,
	NEAR_PING_INTERVAL_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import {createMessageOrder} from './message-order.ts';
import {
	type Hello,
	METHODS,
	type Welcome,
} from './messages.ts';
import type {ControlHost} from './settings.ts';

/**
A control host, or a standby, with an open link over which it has answered the hello.
*/
export type LinkedHost = {
	readonly host: ControlHost;
	readonly link: link.Link;
};

/**
Settings and callbacks of the links to control hosts.
*/
export type ControlLinksOptions = {
	readonly seeds: readonly ControlHost[];
	/**
	This host's own ID: it opens no link to itself.
	*/
	readonly hostId: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly createHello: () => Hello;
	readonly methods: link.LinkMethods;
	/**
	Returns whether the dispatcher of a control host counts this host among its requesting hosts. Such links get frequent pings, so that the dispatcher soon notices when this host is silent.
	*/
	readonly isRecentlyAsked?: (controlLink: link.Link) => boolean;
	/**
	Called when a control host has answered the hello.
	*/
	readonly onOpen: (control: LinkedHost, welcome: Welcome) => void;
	readonly onLost: (control: LinkedHost) => void;
};

/**
The links to the control hosts.
*/
export type ControlLinks = {
	readonly getOpen: () => readonly LinkedHost[];
	/**
	Returns whether there is an open link to every known control host; false when none is known.
	*/
	readonly isComplete: () => boolean;
	readonly find: (id: core.HostId) => link.Link | undefined;
	/**
	Opens links to control hosts that another host named, if they are not known yet.
	*/
	readonly addDiscovered: (hosts: readonly ControlHost[]) => void;
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	readonly notifyAll: (method: string, parameters: unknown) => void;
	readonly close: () => void;
};

type KnownControlHost = {
	host: ControlHost;
	isSeed: boolean;
	/**
	When a host last named it or its link was lost, in milliseconds of monotonic time.
	*/
	lastSeenAt: number;
	open?: LinkedHost;
	readonly dialer: link.Dialer;
};

/**
Starts the links to the seeds.
*/
export function startControlLinks(context: FleetContext, options: ControlLinksOptions): ControlLinks {
	const {now, random} = context;
	const order = createMessageOrder(context);
	const log = context.logs('links');
	const knownHosts = new Map<core.HostId, KnownControlHost>();

	const onDefect = createDefectHandler(context, 'hello');

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
		log.info('A link to a control host is open.', {control: id, version: welcome.version});
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
		log.warn('A link to a control host was lost.', {control: id, silenceMilliseconds: Math.round(open.link.getSilenceMilliseconds())});
		options.onLost(open);
	};

	const getPingInterval = (id: core.HostId) => {
		const entry = knownHosts.get(id);
		if (entry?.open !== undefined && options.isRecentlyAsked?.(entry.open.link) === true) {
			return DISPATCHER_PING_INTERVAL_MILLISECONDS;
		}

		// The failure domain of a seed is unknown until it has answered the hello.
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
				getPingIntervalMilliseconds: () => getPingInterval(host.id),
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
					log.error('A message from a control host could not be handled.', {control: host.id, error: error.stack});
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

			log.info('A control host without a link was forgotten.', {control: id, address: core.formatAddress(entry.host.address)});
			entry.dialer.close();
			knownHosts.delete(id);
		}
	};

	const getOpen = () => knownHosts.values().map(entry => entry.open).filter(open => open !== undefined).toArray();

	const logBytes = () => {
		for (const {host, link: open} of getOpen()) {
			log.debug('Bytes of a link to a control host were counted.', {control: host.id, isNear: host.failureDomain === options.failureDomain, ...open.getBytes()});
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
