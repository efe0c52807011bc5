/**
Announces a backend server to the entry hosts and renews its lease.

An announcement goes to one entry host at a time. An entry host that is down or cut off shows as a refused connection or a
timeout; the next address is tried at once, so that one lost entry host ends no lease.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import * as zod from 'zod';
import * as constants from './constants.ts';

/**
The state that a backend server announces.
*/
export type AnnouncedState = 'serving' | 'draining';

/**
The body of an announcement.
*/
export type Announcement = {
	readonly ip: string;
	readonly port: number;
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	readonly connections: number;
	readonly state: AnnouncedState;
};

/**
What an announcer needs. `getAddresses` gives the traffic addresses of the entry hosts, best first.
*/
export type AnnouncerSettings = {
	readonly service: core.ServiceName;
	readonly id: core.UpstreamId;
	readonly getAddresses: () => readonly core.Address[];
	readonly getAnnouncement: () => Announcement;
};

/**
Renews in the background from `start` until `stop` or `leave`.
*/
export type Announcer = {
	/**
	Announces once and goes on renewing; resolves to whether the first announcement was taken.
	*/
	readonly start: () => Promise<boolean>;
	/**
	Announces now, outside the period.
	*/
	readonly announce: () => Promise<boolean>;
	/**
	Ends renewal without a word, as a crash does.
	*/
	readonly stop: () => void;
	/**
	Ends renewal and gives the lease back; resolves to whether an entry host took it.
	*/
	readonly leave: () => Promise<boolean>;
};

const RENEWAL = zod.object({renewSeconds: zod.number().positive()});

const MILLISECONDS_PER_SECOND = 1000;

/**
Creates an announcer that does nothing yet.
*/
export function createAnnouncer(settings: AnnouncerSettings): Announcer {
	const path = `/.wagtailroute/services/${encodeURIComponent(settings.service)}/upstreams/${encodeURIComponent(settings.id)}`;
	let timer: NodeJS.Timeout | undefined;
	let isRunning = false;
	let preferred = 0;
	let last: Promise<boolean> = Promise.resolve(false);

	/**
	Asks the entry hosts in turn, beginning with the one that answered last, and returns the first good answer's text.
	*/
	async function ask(method: 'PUT' | 'DELETE'): Promise<string | undefined> {
		const addresses = settings.getAddresses();
		for (let attempt = 0; attempt < addresses.length; attempt++) {
			const index = (preferred + attempt) % addresses.length;
			// One entry host after the other: a second lease elsewhere would be wasted work.
			// eslint-disable-next-line no-await-in-loop
			const text = await send(addresses[index]!, path, method, settings.getAnnouncement());
			if (text !== undefined) {
				preferred = index;
				return text;
			}
		}

		return undefined;
	}

	async function renew(): Promise<boolean> {
		const text = await ask('PUT');
		const wait = text === undefined ? constants.ANNOUNCEMENT_RETRY_MILLISECONDS : readRenewal(text);
		if (isRunning) {
			clearTimeout(timer);
			timer = setTimeout(() => {
				void announce();
			}, wait);
			timer.unref();
		}

		return text !== undefined;
	}

	async function announce(): Promise<boolean> {
		last = renew();
		return last;
	}

	function stop(): void {
		isRunning = false;
		clearTimeout(timer);
	}

	return {
		async start() {
			isRunning = true;
			return announce();
		},
		announce,
		stop,
		async leave() {
			stop();
			// A renewal still under way could reach the entry host after the DELETE and bring the lease back.
			await last;
			return await ask('DELETE') !== undefined;
		},
	};
}

async function send(
	address: core.Address,
	path: string,
	method: 'PUT' | 'DELETE',
	announcement: Announcement,
): Promise<string | undefined> {
	try {
		const response = await undici.request(`http://${core.formatAddress(address)}${path}`, {
			method,
			headers: method === 'PUT' ? {'content-type': 'application/json'} : {},
			body: method === 'PUT' ? JSON.stringify(announcement) : null,
			signal: AbortSignal.timeout(constants.ANNOUNCEMENT_TIMEOUT_MILLISECONDS),
		});
		const text = await response.body.text();
		return response.statusCode < 300 ? text : undefined;
	} catch {
		return undefined;
	}
}

function readRenewal(text: string): number {
	try {
		return RENEWAL.parse(JSON.parse(text)).renewSeconds * MILLISECONDS_PER_SECOND;
	} catch {
		return constants.DEFAULT_RENEWAL_MILLISECONDS;
	}
}
