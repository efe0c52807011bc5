/**
What a host knows of requests that may crash backend servers, and which requests it has seen a backend server survive.

A look-up for a request of a service without suspects costs one access to a map. Bounded: suspects by the records' own
bound, survived ones by two generations of which the older is dropped.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type {SuspectAnswer, SuspectChange} from './quarantine-news.ts';

/**
What a host knows.
*/
export type Suspects = {
	readonly getStanding: (service: core.ServiceName, fingerprint: string, now: number) => 'free' | 'suspect' | 'quarantined';
	/**
	Suspects a request by what this host saw itself, until the records say more.
	*/
	readonly suspect: (service: core.ServiceName, fingerprint: string, until: number) => void;
	/**
	Drops what this host believed of a request, when the records know nothing of it.
	*/
	readonly clear: (service: core.ServiceName, fingerprint: string) => void;
	readonly change: (change: SuspectChange, now: number) => void;
	readonly replace: (answer: SuspectAnswer, now: number) => void;
	/**
	Versions of the services that this host has served.
	*/
	readonly getVersions: () => Readonly<Record<core.ServiceName, number>>;
	readonly getVersion: (service: core.ServiceName) => number;
	readonly noteSurvived: (service: core.ServiceName, fingerprint: string) => void;
	/**
	Says whether a server has survived the request since it was last in flight at a crash.
	*/
	readonly takeSurvived: (service: core.ServiceName, fingerprint: string) => boolean;
	/**
	Drops the older half of the survived requests: what a server survived long ago says little of its present state.
	*/
	readonly rotate: () => void;
	readonly forget: (service: core.ServiceName) => void;
};

type Entry = {readonly standing: Exclude<records.QuarantineStatus, 'cleared'>; readonly until: number};

type ServiceSuspects = {
	version: number;
	entries: Map<string, Entry>;
	recent: Set<string>;
	older: Set<string>;
};

/**
Survived requests remembered in one generation.
*/
const MAXIMUM_SURVIVED = 4096;

/**
Creates an empty table. Held in a closure and changed in place, as every request passes here.
*/
export function createSuspects(): Suspects {
	const services = new Map<core.ServiceName, ServiceSuspects>();

	const open = (service: core.ServiceName): ServiceSuspects => {
		const known = services.get(service);
		if (known !== undefined) {
			return known;
		}

		const created = {
			version: 0, entries: new Map<string, Entry>(), recent: new Set<string>(), older: new Set<string>(),
		};
		services.set(service, created);
		return created;
	};

	return {
		getStanding(service, fingerprint, now) {
			const {entries} = open(service);
			const entry = entries.size === 0 ? undefined : entries.get(fingerprint);
			return entry !== undefined && entry.until > now ? entry.standing : 'free';
		},
		suspect(service, fingerprint, until) {
			const {entries} = open(service);
			if (!entries.has(fingerprint)) {
				entries.set(fingerprint, {standing: 'suspect', until});
			}
		},
		clear(service, fingerprint) {
			services.get(service)?.entries.delete(fingerprint);
		},
		change(change, now) {
			const {service, version, fingerprint, standing, milliseconds} = change;
			const known = open(service);
			if (version <= known.version) {
				return;
			}

			// A gap is left for the next question to fill.
			known.version = version === known.version + 1 ? version : known.version;
			if (standing === 'cleared') {
				known.entries.delete(fingerprint);
			} else {
				known.entries.set(fingerprint, {standing, until: now + milliseconds});
			}
		},
		replace(answer, now) {
			for (const {service, version, suspects} of answer.services) {
				const known = open(service);
				if (version <= known.version) {
					continue;
				}

				known.version = version;
				known.entries = new Map(suspects
					.filter(({standing}) => standing !== 'cleared')
					.map(({fingerprint, standing, milliseconds}) => [
						fingerprint, {standing: standing as Entry['standing'], until: now + milliseconds},
					]));
			}
		},
		getVersions: () => Object.fromEntries(services.entries().map(([service, {version}]) => [service, version])),
		getVersion: service => services.get(service)?.version ?? 0,
		noteSurvived(service, fingerprint) {
			const known = open(service);
			known.recent.add(fingerprint);
			if (known.recent.size >= MAXIMUM_SURVIVED) {
				rotate(known);
			}
		},
		takeSurvived(service, fingerprint) {
			// Each survival excuses one crash: a request that once was harmless and no longer is must not stay above suspicion.
			const {recent, older} = open(service);
			const isRecent = recent.delete(fingerprint);
			return older.delete(fingerprint) || isRecent;
		},
		rotate() {
			for (const known of services.values()) {
				rotate(known);
			}
		},
		forget(service) {
			services.delete(service);
		},
	};
}

function rotate(known: ServiceSuspects): void {
	known.older = known.recent;
	known.recent = new Set();
}
